package org.vanillacove.bench.recovery;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.HdrHistogram.Histogram;
import org.vanillacove.bench.Bench;
import org.vanillacove.coordination.api.CellTimings;
import org.vanillacove.coordination.cell.CellNode;
import org.vanillacove.protocol.platform.ReadOutcome;
import org.vanillacove.protocol.record.RecordCodec;
import org.vanillacove.protocol.record.SnapshotCodec;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.api.StartMode;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkloadKind;
import org.vanillacove.state.cell.CellState;

/** Measures takeover in simulated time, restore in real time, and log bytes per task start. */
public final class RecoveryBench implements Bench {
  /** Number of workers of a cell of the planned size. */
  private static final int WORKERS = 560;

  /** Number of running tasks at the planned size, a fifth of which belong to services. */
  private static final int RUNNING_TASKS = 7_100;

  /** Number of jobs per day. */
  private static final int JOBS_PER_DAY = 7_900;

  /** Number of configuration changes per day. */
  private static final int CONFIGURATIONS_PER_DAY = 1_400;

  /** Number of teams with a quota. */
  private static final int TEAMS = 40;

  /** Number of takeovers measured, each after the leader is killed. */
  private static final int TAKEOVERS = 100;

  /** Number of task starts per second at the peak. */
  private static final int PEAK_STARTS_PER_SECOND = 32;

  /** Duration of the peak in seconds. */
  private static final int PEAK_SECONDS = 20;

  /** Deadline of job submissions. */
  private static final Duration DEADLINE = Duration.ofSeconds(10);

  /** Logger of the code under test; a strong reference, so that its level is not lost. */
  private static final Logger COORDINATION_LOGGER =
      Logger.getLogger("org.vanillacove.coordination");

  /** Sequence number of the newest record. */
  private long sequence;

  /** Creates the bench. */
  public RecoveryBench() {}

  @Override
  public Map<String, Object> run(long seed) {
    COORDINATION_LOGGER.setLevel(Level.OFF);
    Map<String, Object> figures = new LinkedHashMap<>();
    measureTakeover(figures);
    measureRestore(figures);
    measurePeak(figures);
    return figures;
  }

  private void measureTakeover(Map<String, Object> figures) {
    Histogram afterDetection = new Histogram(3);
    long detection = CellTimings.DEFAULTS.suspicion().toMillis();
    for (int i = 0; i < TAKEOVERS; i++) {
      PlannedCell cell = new PlannedCell(9, 30);
      cell.clock.advance(10_000 + i * 7L);
      cell.kill(cell.leader().orElseThrow().self().id());
      long killed = cell.clock.monotonicMillis();
      CellNode node = cell.nodes.values().iterator().next();
      node.submitJob("next", PlannedCell.job(WorkloadKind.BATCH, 1), DEADLINE);
      while (!isPlaced(node)) {
        cell.clock.advance(10);
      }
      afterDetection.recordValue(Math.max(0, cell.clock.monotonicMillis() - killed - detection));
      cell.nodes.values().forEach(CellNode::close);
    }
    figures.put("takeover_p50_ms", afterDetection.getValueAtPercentile(50));
    figures.put("takeover_p99_ms", afterDetection.getValueAtPercentile(99));
  }

  private static boolean isPlaced(CellNode node) {
    return node.job("next").map(job -> job.tasks().getFirst().workerId().isPresent()).orElse(false);
  }

  private void measureRestore(Map<String, Object> figures) {
    List<ByteString> records = new ArrayList<>();
    records.add(encode(new CellRecord.LeaderClaimed("h0")));
    for (int i = 0; i < WORKERS; i++) {
      records.add(encode(new CellRecord.WorkerJoined(PlannedCell.worker(i))));
    }
    int tasks = 0;
    for (int job = 0; job < JOBS_PER_DAY; job++) {
      boolean stays = tasks < RUNNING_TASKS && job >= JOBS_PER_DAY / 2;
      WorkloadKind kind = job % 5 == 0 ? WorkloadKind.SERVICE : WorkloadKind.BATCH;
      String id = "moulding-plan-" + job;
      records.add(encode(new CellRecord.JobAccepted(id, PlannedCell.job(kind, 2), job)));
      for (int i = 0; i < 2; i++) {
        TaskId task = new TaskId(id, i);
        String worker = "worker-" + job % WORKERS;
        records.add(encode(new CellRecord.TaskStarted(task, 1, worker, StartMode.WRITE_BEHIND)));
        if (!stays) {
          TaskOutcome end =
              kind == WorkloadKind.SERVICE ? TaskOutcome.CANCELLED : TaskOutcome.SUCCEEDED;
          records.add(encode(new CellRecord.TaskEnded(task, 1, end)));
        }
        tasks += stays ? 1 : 0;
      }
    }
    addConfigurations(records);
    applyAll(records);
    long begun = System.nanoTime();
    CellState state = applyAll(records);
    figures.put("restore_from_records_ms", millisSince(begun));
    figures.put("records", records.size());
    List<CellRecord.SnapshotChunk> chunks = SnapshotCodec.encode("s", state.snapshot());
    long bytes = chunks.stream().mapToLong(chunk -> chunk.content().sizeIfKnown().or(0L)).sum();
    SnapshotCodec.decode(chunks);
    begun = System.nanoTime();
    CellState restored = CellState.restore(SnapshotCodec.decode(chunks).orElseThrow());
    figures.put("restore_ms", millisSince(begun));
    figures.put("snapshot_bytes", bytes);
    figures.put("restored_jobs", restored.jobs().size());
    figures.put("running_tasks", tasks);
    figures.put("restored_configurations", restored.configurations().size());
  }

  /** Adds the configuration changes of a day, each of which changes the quota of one team. */
  private void addConfigurations(List<ByteString> records) {
    Random random = new Random(1);
    int[] quotas = random.ints(TEAMS, 1_000, 1_000_000).toArray();
    long inForce = 0;
    for (int i = 0; i < CONFIGURATIONS_PER_DAY; i++) {
      quotas[random.nextInt(TEAMS)] = random.nextInt(1_000, 1_000_000);
      StringBuilder document = new StringBuilder("{\"defaults\":{\"quotas\":{");
      for (int team = 0; team < TEAMS; team++) {
        document.append(
            "%s\"team-%d\":{\"cpuMillis\":%d,\"memoryMib\":%d}"
                .formatted(team == 0 ? "" : ",", team, quotas[team], 4L * quotas[team]));
      }
      records.add(
          encode(
              new CellRecord.ConfigurationChanged(
                  inForce,
                  document.append("}}}").toString(),
                  "operator-" + random.nextInt(TEAMS),
                  "ticket "
                      + random.nextInt(1_000_000)
                      + ": more room until the end of the week")));
      inForce = records.size() - 1L;
    }
  }

  private void measurePeak(Map<String, Object> figures) {
    PlannedCell cell = new PlannedCell(9, 60);
    cell.clock.advance(10_000);
    CellNode node = cell.leader().orElseThrow();
    long appends = cell.log.appendCalls();
    long offset = cell.log.endOffset();
    for (int i = 0; i < PEAK_SECONDS * PEAK_STARTS_PER_SECOND; i++) {
      node.submitJob("job-" + i, PlannedCell.job(WorkloadKind.BATCH, 1), DEADLINE);
      cell.clock.advance(1_000 / PEAK_STARTS_PER_SECOND);
    }
    cell.clock.advance(1_000);
    long bytes = 0;
    if (cell.log.read(offset, Integer.MAX_VALUE).join() instanceof ReadOutcome.Batch batch) {
      bytes = batch.records().stream().mapToLong(ByteString::size).sum();
    }
    int starts = PEAK_SECONDS * PEAK_STARTS_PER_SECOND;
    figures.put("bytes_per_start", bytes / (double) starts);
    figures.put(
        "appends_per_s_at_peak", (cell.log.appendCalls() - appends) / (double) PEAK_SECONDS);
    cell.nodes.values().forEach(CellNode::close);
  }

  private ByteString encode(CellRecord record) {
    return RecordCodec.encode(new RecordEnvelope("h0-a:" + ++sequence, 1, "h0", record));
  }

  private static CellState applyAll(List<ByteString> records) {
    CellState state = new CellState();
    long offset = 0;
    for (ByteString bytes : records) {
      state.apply(offset++, RecordCodec.decode(bytes).orElseThrow());
    }
    return state;
  }

  private static double millisSince(long begunNanos) {
    return (System.nanoTime() - begunNanos) / 1_000_000.0;
  }
}
