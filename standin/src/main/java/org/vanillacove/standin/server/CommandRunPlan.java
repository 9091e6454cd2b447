package org.vanillacove.standin.server;

import com.google.common.base.Splitter;
import com.google.common.primitives.Doubles;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.TaskOutcome;

/**
 * Derives run time and outcome of a task from its command: {@code sleep SECONDS} succeeds and
 * {@code fail SECONDS} fails after the given time, {@code serve} runs until it is stopped, and any
 * other command succeeds after a default time.
 */
public final class CommandRunPlan implements WorkerModel.RunPlan {
  /** Milliseconds in a second. */
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Splits a command into its verb and the rest. */
  private static final Splitter WORD_SPLITTER = Splitter.on(' ').omitEmptyStrings().limit(2);

  /** Run time of commands that give no valid time. */
  private final Duration defaultRunTime;

  /** Creates a plan with the run time of commands that give no valid time. */
  public CommandRunPlan(Duration defaultRunTime) {
    this.defaultRunTime = defaultRunTime;
  }

  @Override
  public Optional<WorkerModel.PlannedEnd> plan(WorkerCommand.Start start) {
    List<String> words = WORD_SPLITTER.splitToList(start.command());
    String verb = words.isEmpty() ? "" : words.getFirst();
    if (verb.equals("serve")) {
      return Optional.empty();
    }
    TaskOutcome outcome = verb.equals("fail") ? TaskOutcome.FAILED : TaskOutcome.SUCCEEDED;
    return Optional.of(new WorkerModel.PlannedEnd(runMillis(verb, words), outcome));
  }

  private long runMillis(String verb, List<String> words) {
    boolean timed = words.size() > 1 && (verb.equals("sleep") || verb.equals("fail"));
    return Optional.ofNullable(timed ? Doubles.tryParse(words.get(1)) : null)
        .filter(seconds -> seconds >= 0)
        .map(seconds -> Math.round(seconds * MILLIS_PER_SECOND))
        .orElse(defaultRunTime.toMillis());
  }
}
