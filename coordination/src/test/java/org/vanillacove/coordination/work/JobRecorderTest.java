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

/** Tests the retries and the order of appends after each kind of outcome. */
class JobRecorderTest {
  private final ManualTimerService timer = new ManualTimerService(0);
  private final Deque<JobStore.Outcome> answers = new ArrayDeque<>();
  private final List<Sent> sent = new ArrayList<>();
  private final List<JobRecorder.WriteOutcome> writeOutcomes = new ArrayList<>();
  private final JobRecorder recorder = new JobRecorder(this::append, timer, () -> {});

  /** An append as received by the store. */
  private record Sent(int sequence, List<KeyedRecord> records) {}

  /** Accepts appends only in order, from any first number; one call is delayed in transit. */
  private static final class OrderedStore implements JobStore {
    private final ManualTimerService timer;
    private final int delayedCall;
    private int calls;
    private int next = -1;
    private int rejections;

    OrderedStore(ManualTimerService timer, int heldCall) {
      this.timer = timer;
      this.delayedCall = heldCall;
    }

    @Override
    public void append(int sequence, List<KeyedRecord> records, Consumer<Outcome> done) {
      calls++;
      timer.after(Duration.ofMillis(calls == delayedCall ? 90 : 30), () -> arrive(sequence, done));
    }

    private void arrive(int sequence, Consumer<Outcome> done) {
      boolean inOrder = next < 0 || sequence == next;
      next = inOrder ? sequence + 1 : next;
      rejections += inOrder ? 0 : 1;
      timer.after(
          Duration.ofMillis(60),
          () -> done.accept(inOrder ? Outcome.STORED : Outcome.OUT_OF_ORDER));
    }
  }

  private void append(int sequence, List<KeyedRecord> records, Consumer<JobStore.Outcome> done) {
    sent.add(new Sent(sequence, records));
    JobStore.Outcome outcome = answers.isEmpty() ? JobStore.Outcome.STORED : answers.removeFirst();
    timer.after(Duration.ofMillis(500), () -> done.accept(outcome));
  }

  private void acceptAndRun(JobStore.Outcome... outcomes) {
    answers.addAll(List.of(outcomes));
    recorder.accept("job/a", ByteString.copyFromUtf8("a"), writeOutcomes::add);
    for (int i = 0; i < 100; i++) {
      timer.advance(100);
    }
  }

  @Test
  void appendOfUnknownOutcomeIsRetriedUnchanged() {
    acceptAndRun(
        JobStore.Outcome.UNKNOWN,
        JobStore.Outcome.NOT_STORED,
        JobStore.Outcome.NOT_STORED,
        JobStore.Outcome.STORED);
    assertThat(sent).hasSize(4).allMatch(each -> each.equals(sent.getFirst()));
    assertThat(writeOutcomes)
        .endsWith(JobRecorder.WriteOutcome.STORED)
        .doesNotContain(JobRecorder.WriteOutcome.NOT_STORED);
  }

  @Test
  void acceptanceIsGivenUpWhenTheStoreRejectsIt() {
    acceptAndRun(
        JobStore.Outcome.NOT_STORED, JobStore.Outcome.NOT_STORED, JobStore.Outcome.NOT_STORED);
    assertThat(writeOutcomes).containsExactly(JobRecorder.WriteOutcome.NOT_STORED);
  }

  @Test
  void requiredRecordIsRetriedAfterRejections() {
    List<String> stored = new ArrayList<>();
    recorder.write("progress/a", () -> ByteString.copyFromUtf8("p"), () -> stored.add("p"));
    acceptAndRun(
        JobStore.Outcome.NOT_STORED, JobStore.Outcome.NOT_STORED, JobStore.Outcome.NOT_STORED);
    assertThat(stored).containsExactly("p");
  }

  @Test
  void appendsOfASlowStoreOverlap() {
    for (int i = 0; i < 8; i++) {
      recorder.write("progress/" + i, () -> ByteString.EMPTY, () -> {});
      timer.advance(50);
    }
    timer.advance(200);
    assertThat(sent).extracting(Sent::sequence).containsExactly(0, 1);
    for (int i = 0; i < 8; i++) {
      recorder.write("progress/" + i, () -> ByteString.EMPTY, () -> {});
      timer.advance(50);
    }
    assertThat(sent).extracting(Sent::sequence).startsWith(0, 1, 2, 3, 4);
  }

  @Test
  void outOfOrderAppendIsResentAfterItsPredecessor() {
    List<String> stored = new ArrayList<>();
    recorder.write("progress/first", () -> ByteString.EMPTY, () -> {});
    timer.advance(600);
    answers.addAll(List.of(JobStore.Outcome.UNKNOWN, JobStore.Outcome.OUT_OF_ORDER));
    recorder.write("progress/a", () -> ByteString.EMPTY, () -> stored.add("a"));
    timer.advance(50);
    recorder.write("progress/b", () -> ByteString.EMPTY, () -> stored.add("b"));
    timer.advance(2_000);
    assertThat(sent).extracting(Sent::sequence).containsExactly(0, 1, 2, 1, 2);
    assertThat(stored).containsExactly("a", "b");
  }

  @Test
  void oneDelayedAppendDoesNotPutAllLaterOnesOutOfOrder() {
    OrderedStore orderedStore = new OrderedStore(timer, 5);
    JobRecorder orderedRecorder = new JobRecorder(orderedStore, timer, () -> {});
    for (int i = 0; i < 60; i++) {
      orderedRecorder.write("progress/" + i, () -> ByteString.EMPTY, () -> {});
      timer.advance(30);
    }
    timer.advance(2_000);
    assertThat(orderedStore.rejections).isBetween(1, 3);
    assertThat(orderedStore.next).isEqualTo(orderedStore.calls - orderedStore.rejections);
  }

  @Test
  void firstAppendOfATermIsNotOvertaken() {
    OrderedStore orderedStore = new OrderedStore(timer, 1);
    JobRecorder orderedRecorder = new JobRecorder(orderedStore, timer, () -> {});
    List<Integer> stored = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int number = i;
      orderedRecorder.write("progress/" + i, () -> ByteString.EMPTY, () -> stored.add(number));
      timer.advance(30);
    }
    timer.advance(2_000);
    assertThat(stored).containsExactly(0, 1, 2, 3);
    assertThat(orderedStore.rejections).isZero();
  }

  @Test
  void laterAppendKeepsTheNewerValue() {
    List<String> values = new ArrayList<>(List.of("old", "new"));
    answers.add(JobStore.Outcome.NOT_STORED);
    recorder.write("k", () -> ByteString.copyFromUtf8(values.removeFirst()), () -> {});
    timer.advance(50);
    recorder.write("k", () -> ByteString.copyFromUtf8(values.removeFirst()), () -> {});
    timer.advance(3_000);
    assertThat(sent.getLast().records().getFirst().value().toStringUtf8())
        .isEqualTo(sent.getLast().sequence() == 1 ? "new" : "old");
  }

  @Test
  void newerLeaderEndsTheTerm() {
    acceptAndRun(JobStore.Outcome.FENCED);
    assertThat(writeOutcomes).containsExactly(JobRecorder.WriteOutcome.NOT_STORED);
    assertThat(sent).hasSize(1);
  }
}
