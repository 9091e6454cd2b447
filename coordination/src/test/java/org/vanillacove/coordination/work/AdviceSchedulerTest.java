package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.vanillacove.coordination.work.api.Adviser;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.state.work.JobSpec;
import org.vanillacove.state.work.QueuePolicy;

/**
 * Tests bursts of small steps with an adviser that serves the calls of its only host in sequence.
 */
class AdviceSchedulerTest {
  /** One-way latency to the adviser through a peer in another region. */
  private static final long LATENCY_MILLIS = 60;

  /** Time that the adviser needs for a small step. */
  private static final long WORK_MILLIS = 8;

  private static final QueuePolicy QUICK =
      new QueuePolicy(
          "quick",
          "example/quick/",
          "pool",
          0,
          3,
          1.5,
          600,
          Optional.of(new QueuePolicy.AdvicePolicy(WORK_MILLIS, 0, 2_500)));

  private final ManualTimerService timer = new ManualTimerService(0);
  private final SequentialAdviser adviser = new SequentialAdviser(timer);
  private final AdviceScheduler scheduler = new AdviceScheduler(adviser, timer, () -> {});

  /** Serves the calls of one host in sequence, after the latency to reach it. */
  private static final class SequentialAdviser implements Adviser {
    private final TimerService timer;
    private final List<String> answeredJobs = new ArrayList<>();
    private final Map<String, Long> answerMillis = new HashMap<>();
    private boolean unresponsive;
    private long idleFromMillis;

    SequentialAdviser(TimerService timer) {
      this.timer = timer;
    }

    @Override
    public List<String> hosts() {
      return List.of("h1");
    }

    @Override
    public void requestAdvice(
        String host,
        AdviceRequest question,
        Duration timeout,
        Consumer<Optional<Map<String, String>>> done) {
      if (unresponsive) {
        timer.after(timeout, () -> done.accept(Optional.empty()));
        return;
      }
      idleFromMillis =
          Math.max(idleFromMillis, timer.monotonicMillis() + LATENCY_MILLIS) + WORK_MILLIS;
      timer.after(
          Duration.ofMillis(idleFromMillis + LATENCY_MILLIS - timer.monotonicMillis()),
          () -> {
            answeredJobs.add(question.job());
            answerMillis.put(question.job(), timer.monotonicMillis());
            done.accept(Optional.of(Map.of("w0", "ticket")));
          });
    }
  }

  private void ask(String id, long submittedMillis) {
    JobSpec spec = CellFixture.job(id, CellFixture.step(1, 1_000, 640, false, List.of()));
    TrackedJob job = new TrackedJob(spec, submittedMillis, 1_600, TrackedJob.Stage.OPEN, false);
    scheduler.ask(job, job.steps().get(0), QUICK, List.of("w0"));
  }

  @Test
  void burstOfSmallStepsIsAnsweredAtTheAdvisersRate() {
    for (int i = 0; i < 40; i++) {
      ask("job" + i, 0);
    }
    timer.advance(1_000);
    assertThat(adviser.answeredJobs).hasSize(40);
  }

  @Test
  void stepsThatCanBeOnTimeGoBeforeLateOnes() {
    timer.advance(10_000);
    for (int i = 0; i < 40; i++) {
      ask("late" + i, 5_000);
    }
    ask("fresh", 10_000);
    timer.advance(350);
    assertThat(adviser.answeredJobs).contains("fresh");
  }

  @Test
  void callFromUnresponsiveHostTimesOutWithinItsMargin() {
    adviser.unresponsive = true;
    JobSpec spec = CellFixture.job("a", CellFixture.step(1, 1_000, 640, false, List.of()));
    TrackedJob job = new TrackedJob(spec, 0, 1_600, TrackedJob.Stage.OPEN, false);
    scheduler.ask(job, job.steps().get(0), QUICK, List.of("w0"));
    timer.advance(600);
    assertThat(job.steps().get(0).advice().isPending()).isFalse();
  }
}
