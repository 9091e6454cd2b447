package org.vanillacove.state.placement;

import com.google.common.base.Splitter;
import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.PlacementDecision;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.api.WorkloadKind;

/** Runs a scripted session for each kind of workload and compares the decisions as approved. */
final class PlacementSessionTest {
  @ParameterizedTest
  @ValueSource(strings = {"service", "batch", "gang", "urgent"})
  void decidesAsApproved(String session) throws IOException {
    PolicyPlacer placer = new PolicyPlacer();
    for (int i = 0; i < 6; i++) {
      placer.addWorker(Specs.worker("w" + i, "abc".charAt(i % 3) + "1", "rack" + i / 2));
    }
    StringBuilder transcript = new StringBuilder();
    String script =
        Resources.toString(
            Resources.getResource(getClass(), session + ".session"), StandardCharsets.UTF_8);
    script.lines().forEach(line -> play(placer, line, transcript.append(line).append('\n')));
    Approvals.verify(transcript, Approvals.NAMES.withParameters(session));
  }

  private static void play(PolicyPlacer placer, String line, StringBuilder transcript) {
    List<String> words = Splitter.on(' ').splitToList(line);
    switch (words.getFirst()) {
      case "submit" -> placer.submit(words.get(1), job(words, 2), 0);
      case "check" -> print(transcript, placer.check(job(words, 1)));
      case "decide" -> decide(placer, Long.parseLong(words.get(1)), transcript);
      case "end" ->
          placer.taskEnded(
              task(words.get(1)), TaskOutcome.valueOf(words.get(2)), Long.parseLong(words.get(3)));
      case "cancel" -> placer.cancel(words.get(1));
      case "drain" -> placer.setWorkerStatus(words.get(1), WorkerStatus.DRAINING);
      case "lose" -> placer.setWorkerStatus(words.get(1), WorkerStatus.LOST);
      case "explain" ->
          print(transcript, placer.explain(words.get(1), Long.parseLong(words.get(2))));
      default -> throw new IllegalArgumentException("unknown step: " + line);
    }
  }

  private static void decide(PolicyPlacer placer, long now, StringBuilder transcript) {
    for (PlacementDecision decision : placer.decide(now, 100)) {
      switch (decision) {
        case PlacementDecision.Start start ->
            print(transcript, "start " + start.task() + " on " + start.workerId());
        case PlacementDecision.Preempt preempt ->
            print(
                transcript,
                "stop "
                    + preempt.task()
                    + " on "
                    + preempt.workerId()
                    + " for "
                    + preempt.inFavourOf());
      }
    }
  }

  private static void print(StringBuilder transcript, Object result) {
    transcript.append("  ").append(result).append('\n');
  }

  private static TaskId task(String text) {
    List<String> parts = Splitter.on('/').splitToList(text);
    return new TaskId(parts.get(0), Integer.parseInt(parts.get(1)));
  }

  private static JobSpec job(List<String> words, int from) {
    JobSpec spec =
        Specs.job(
            WorkloadKind.valueOf(words.get(from)),
            PriorityClass.valueOf(words.get(from + 1)),
            Integer.parseInt(words.get(from + 2)),
            Specs.size(
                Integer.parseInt(words.get(from + 3)), Integer.parseInt(words.get(from + 4))));
    return words.size() > from + 5 ? Specs.atMostOnce(spec, false) : spec;
  }
}
