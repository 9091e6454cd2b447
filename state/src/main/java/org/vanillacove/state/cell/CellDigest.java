package org.vanillacove.state.cell;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.StartMode;

/** Computes a digest of the cell state; equal states have equal digests on every host. */
public final class CellDigest {
  private CellDigest() {}

  /** Returns the digest of all parts of the state that later records are validated against. */
  public static long of(CellState state) {
    Hasher hasher = Hashing.murmur3_128().newHasher();
    hasher.putLong(state.nextOffset()).putLong(state.epoch());
    put(hasher, state.leader().orElse(""));
    state.jobs().forEach(job -> put(hasher, job));
    state.workers().forEach(worker -> put(hasher, worker));
    for (HostSpec host : state.hosts()) {
      put(hasher, host.id());
      put(hasher, host.zone().name());
    }
    for (ConfigurationDelta delta : state.configurationDeltas()) {
      hasher.putLong(delta.version()).putInt(delta.prefix()).putInt(delta.suffix());
      put(hasher, delta.text());
    }
    return hasher.hash().asLong();
  }

  private static void put(Hasher hasher, JobState job) {
    put(hasher, job.jobId());
    hasher.putBoolean(job.isCancelled()).putLong(job.acceptedOffset());
    for (TaskState task : job.tasks()) {
      put(hasher, task);
    }
  }

  private static void put(Hasher hasher, TaskState task) {
    hasher.putInt(task.attempt()).putInt(task.failures()).putBoolean(task.settled());
    hasher.putBoolean(task.mode() == StartMode.WRITE_BEHIND);
    put(hasher, task.workerId().orElse(""));
    put(hasher, task.outcome().map(Enum::name).orElse(""));
  }

  private static void put(Hasher hasher, WorkerState worker) {
    put(hasher, worker.spec().id());
    put(hasher, worker.status().name());
    hasher.putLong(worker.committed().cpuMillis());
    hasher.putLong(worker.committed().memoryMib());
    hasher.putInt(worker.committed().accelerators());
  }

  private static void put(Hasher hasher, String text) {
    hasher.putInt(text.length());
    hasher.putString(text, StandardCharsets.UTF_8);
  }
}
