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

/** Replays bursts of small steps over an adviser that serves one host in turn. */
class AdviceDeskTest {
  /** One way to the adviser by a peer in another region. */
  private static final long WAY_MILLIS = 60;

  /** Work of the adviser for a small step. */
  private static final long WORK_MILLIS = 8;

  private static final QueuePolicy QUICK =
      new QueuePolicy(
          "quick",
          "pool",
          0,
          3,
          1.5,
          600,
          Optional.of(new QueuePolicy.AdvicePolicy(WORK_MILLIS, 0, 2_500)));

  private final ManualTimerService timer = new ManualTimerService(0);
  private final TurnAdviser adviser = new TurnAdviser(timer);
  private final AdviceDesk desk = new AdviceDesk(adviser, timer, () -> {});

  /** Serves the calls of its one host in turn, a way from it. */
  private static final class TurnAdviser implements Adviser {
    private final TimerService timer;
    private final List<String> answeredJobs = new ArrayList<>();
    private final Map<String, Long> answerMillis = new HashMap<>();
    private boolean silent;
    private long freeMillis;

    TurnAdviser(TimerService timer) {
      this.timer = timer;
    }

    @Override
    public List<String> hosts() {
      return List.of("h1");
    }

    @Override
    public void ask(
        String host,
        Question question,
        Duration timeout,
        Consumer<Optional<Map<String, String>>> done) {
      if (silent) {
        timer.after(timeout, () -> done.accept(Optional.empty()));
        return;
      }
      freeMillis = Math.max(freeMillis, timer.monotonicMillis() + WAY_MILLIS) + WORK_MILLIS;
      timer.after(
          Duration.ofMillis(freeMillis + WAY_MILLIS - timer.monotonicMillis()),
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
    desk.ask(job, job.steps().get(0), QUICK, List.of("w0"));
  }

  @Test
  void burstOfSmallStepsIsAnsweredAtTheAdvisersPace() {
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
  void silentHostGivesTheCallBackWithinItsMargin() {
    adviser.silent = true;
    JobSpec spec = CellFixture.job("a", CellFixture.step(1, 1_000, 640, false, List.of()));
    TrackedJob job = new TrackedJob(spec, 0, 1_600, TrackedJob.Stage.OPEN, false);
    desk.ask(job, job.steps().get(0), QUICK, List.of("w0"));
    timer.advance(600);
    assertThat(job.steps().get(0).advice().isPending()).isFalse();
  }
}
