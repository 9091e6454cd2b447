package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.state.work.QueuePolicy;

/**
 * Policies of the queues. A queue that leaves the configuration while it has open jobs keeps a
 * policy: that of the queue which is configured at its address now, or else its last one. The last
 * policies are durable, since a new leader reads only the newest configuration.
 */
final class QueueTable {
  /** Logs queues that left the configuration (prefix {@code queues:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Writes the last policies to the store. */
  private final JobRecorder recorder;

  /** Queues of the configuration in force by name. */
  private Map<String, QueuePolicy> configured = Map.of();

  /** The same queues by address. */
  private Map<String, QueuePolicy> byAddress = Map.of();

  /** Whether a configuration has been read. */
  private boolean configurationRead;

  /** Last policy of each queue that has had jobs, by name; each has a record in the store. */
  private final Map<String, QueuePolicy> lastPolicies = new HashMap<>();

  /** Creates a table without a configuration. */
  QueueTable(JobRecorder recorder) {
    this.recorder = recorder;
  }

  /** Takes over the last policies that former leaders left in the store. */
  void load(List<KeyedRecord> records) {
    for (KeyedRecord each : records) {
      if (each.key().startsWith(QueueRecords.PREFIX)) {
        QueueRecords.parse(each.value())
            .ifPresentOrElse(
                last -> lastPolicies.put(last.queue(), last.policy()),
                () -> LOG.atWarning().log("queues: skipping malformed record key=%s", each.key()));
      }
    }
  }

  /** Replaces the configured queues. */
  void configure(Map<String, QueuePolicy> queues) {
    configured = Map.copyOf(queues);
    Map<String, QueuePolicy> addresses = new HashMap<>();
    queues.values().forEach(queue -> addresses.put(queue.address(), queue));
    byAddress = Map.copyOf(addresses);
    configurationRead = true;
  }

  /** Returns the policy of a configured queue, which may accept jobs. */
  Optional<QueuePolicy> configured(String queue) {
    return Optional.ofNullable(configured.get(queue));
  }

  /**
   * Returns the policy for accepted jobs of a queue, whether it is still configured or not. Empty
   * until a configuration has been read, since the last policies may be outdated.
   */
  Optional<QueuePolicy> policy(String queue) {
    return configurationRead ? newestKnown(queue) : Optional.empty();
  }

  /** Does the same as {@link #policy}, but also before a configuration has been read. */
  Optional<QueuePolicy> newestKnown(String queue) {
    QueuePolicy named = configured.get(queue);
    QueuePolicy last = lastPolicies.get(queue);
    if (named != null || last == null) {
      return Optional.ofNullable(named);
    }
    QueuePolicy renamed = configured.getOrDefault(last.name(), byAddress.get(last.address()));
    return Optional.of(renamed == null ? last : renamed);
  }

  /** Returns the name by which callers reach the jobs of a queue now. */
  String currentName(String queue) {
    return newestKnown(queue).map(QueuePolicy::name).orElse(queue);
  }

  /** Returns the services of the configured queues and of all others that have open jobs. */
  Set<String> services() {
    Set<String> services = new HashSet<>();
    configured.values().forEach(queue -> services.add(queue.service()));
    lastPolicies
        .keySet()
        .forEach(queue -> policy(queue).ifPresent(policy -> services.add(policy.service())));
    return services;
  }

  /** Records the policy of a queue that is about to have a job, unless that is done. */
  void recordPolicy(String queue) {
    Optional<QueuePolicy> policy = policy(queue);
    if (policy.isPresent() && !policy.get().equals(lastPolicies.get(queue))) {
      lastPolicies.put(queue, policy.get());
      recorder.write(
          QueueRecords.key(queue), () -> QueueRecords.encode(queue, policy.get()), () -> {});
    }
  }

  /** Records the present policies of the queues that have open jobs, and logs those that left. */
  void recordPolicies(Collection<String> queuesWithJobs) {
    for (String queue : queuesWithJobs) {
      recordPolicy(queue);
      if (configurationRead && !configured.containsKey(queue)) {
        LOG.atInfo().log(
            "queues: not configured, with open jobs queue=%s policy_of=%s service=%s",
            queue,
            policy(queue).map(QueuePolicy::name).orElse("none"),
            policy(queue).map(QueuePolicy::service).orElse("none"));
      }
    }
  }

  /** Returns whether the last policy of a queue is kept that is no longer configured. */
  boolean keepsRemovedQueues() {
    return configurationRead && !configured.keySet().containsAll(lastPolicies.keySet());
  }

  /** Drops the last policies of the queues that are neither configured nor have open jobs. */
  void dropRemovedQueues(Set<String> queuesWithJobs) {
    lastPolicies
        .keySet()
        .removeIf(
            queue -> {
              boolean unused = !configured.containsKey(queue) && !queuesWithJobs.contains(queue);
              if (unused) {
                LOG.atInfo().log("queues: removed queue=%s", queue);
                recorder.write(QueueRecords.key(queue), () -> ByteString.EMPTY, () -> {});
              }
              return unused;
            });
  }
}
