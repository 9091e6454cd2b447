package org.vanillacove.coordination.work;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.vanillacove.coordination.work.api.JobStore;
import org.vanillacove.coordination.work.api.KeyedRecord;
import org.vanillacove.standin.memory.ManualTimerService;

/** Checks what is sent to the store after each kind of answer. */
class JobRecorderTest {
  private final ManualTimerService timer = new ManualTimerService(0);
  private final Deque<JobStore.Outcome> answers = new ArrayDeque<>();
  private final List<Sent> sent = new ArrayList<>();
  private final List<JobRecorder.Fate> fates = new ArrayList<>();
  private final JobRecorder recorder = new JobRecorder(this::append, timer, () -> {});

  /** An append as the store saw it. */
  private record Sent(int sequence, List<KeyedRecord> records) {}

  private void append(int sequence, List<KeyedRecord> records, Consumer<JobStore.Outcome> done) {
    sent.add(new Sent(sequence, records));
    JobStore.Outcome outcome = answers.isEmpty() ? JobStore.Outcome.STORED : answers.removeFirst();
    timer.after(Duration.ofMillis(500), () -> done.accept(outcome));
  }

  private void play(JobStore.Outcome... outcomes) {
    answers.addAll(List.of(outcomes));
    recorder.accept("job/a", ByteString.copyFromUtf8("a"), fates::add);
    for (int i = 0; i < 100; i++) {
      timer.advance(100);
    }
  }

  @Test
  void appendOfUnknownFateIsRepeatedUnchangedUntilItIsKnown() {
    play(
        JobStore.Outcome.UNKNOWN,
        JobStore.Outcome.NOT_STORED,
        JobStore.Outcome.NOT_STORED,
        JobStore.Outcome.STORED);
    assertThat(sent).hasSize(4).allMatch(each -> each.equals(sent.getFirst()));
    assertThat(fates).endsWith(JobRecorder.Fate.STORED).doesNotContain(JobRecorder.Fate.NOT_STORED);
  }

  @Test
  void acceptanceThatTheStoreRefusesIsGivenUp() {
    play(JobStore.Outcome.NOT_STORED, JobStore.Outcome.NOT_STORED, JobStore.Outcome.NOT_STORED);
    assertThat(fates).containsExactly(JobRecorder.Fate.NOT_STORED);
  }

  @Test
  void recordThatMustBeKeptIsRepeatedAfterRefusals() {
    List<String> stored = new ArrayList<>();
    recorder.write("progress/a", () -> ByteString.copyFromUtf8("p"), () -> stored.add("p"));
    play(JobStore.Outcome.NOT_STORED, JobStore.Outcome.NOT_STORED, JobStore.Outcome.NOT_STORED);
    assertThat(stored).containsExactly("p");
  }

  @Test
  void newerLeaderEndsTheTerm() {
    play(JobStore.Outcome.FENCED);
    assertThat(fates).containsExactly(JobRecorder.Fate.NOT_STORED);
    assertThat(sent).hasSize(1);
  }
}
