package org.vanillacove.protocol.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Range;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.vanillacove.protocol.configuration.ExceptionScope.Part;

/** A field of the fleet defaults that an exception may override. */
public enum ExceptionField {
  /** Processor quota of a team in thousandths of a core. */
  QUOTA_CPU("quota.cpuMillis", Range.closed(0L, 1_000_000_000_000L), Part.TEAM),

  /** Memory quota of a team in mebibytes. */
  QUOTA_MEMORY("quota.memoryMib", Range.closed(0L, 1_000_000_000_000L), Part.TEAM),

  /** Accelerator quota of a team in devices. */
  QUOTA_ACCELERATORS("quota.accelerators", Range.closed(0L, 1_000_000L), Part.TEAM),

  /** Maximum number of tasks of one job of a team in a priority class. */
  MAX_TASKS_PER_JOB("class.maxTasksPerJob", Range.closed(1L, 10_000L), Part.TEAM, Part.CLASS),

  /** Priority class of a team's jobs that set none. */
  WORKLOAD_PRIORITY(
      "workload.priority", List.of("urgent", "normal", "low"), Part.TEAM, Part.WORKLOAD),

  /** Whether tasks may be started again, for a team's jobs that do not set it. */
  WORKLOAD_RERUN("workload.rerun", List.of("at-most-once", "rerun"), Part.TEAM, Part.WORKLOAD),

  /** What happens to unreachable tasks, for a team's jobs that do not set it. */
  WORKLOAD_LOSS("workload.loss", List.of("move", "keep"), Part.TEAM, Part.WORKLOAD),

  /** Maximum number of requests queued on an entry host of a region. */
  QUEUE_LIMIT("routing.queueLimit", Range.closed(0L, 100_000L), Part.REGION),

  /** Deadline in milliseconds of requests in a region that set none. */
  DEFAULT_DEADLINE("routing.defaultDeadlineMillis", Range.closed(10L, 3_600_000L), Part.REGION),

  /** Retries allowed in a region per hundred requests. */
  RETRY_BUDGET("routing.retryBudgetPercent", Range.closed(0L, 100L), Part.REGION),

  /** Waiting time in milliseconds that sending a request to another region must save. */
  CROSS_REGION_PENALTY("routing.crossRegionPenaltyMillis", Range.closed(0L, 60_000L), Part.REGION);

  /** Name of the field in documents. */
  private final String path;

  /** Allowed amounts, empty if the field takes one of several words. */
  private final Optional<Range<Long>> amounts;

  /** Allowed words, empty if the field takes an amount. */
  private final ImmutableList<String> choices;

  /** Exact set of parts that the scope of an exception must name. */
  private final ImmutableList<Part> parts;

  ExceptionField(String path, Range<Long> amounts, Part... parts) {
    this.path = path;
    this.amounts = Optional.of(amounts);
    this.choices = ImmutableList.of();
    this.parts = ImmutableList.copyOf(parts);
  }

  ExceptionField(String path, List<String> choices, Part... parts) {
    this.path = path;
    this.amounts = Optional.empty();
    this.choices = ImmutableList.copyOf(choices);
    this.parts = ImmutableList.copyOf(parts);
  }

  /** Returns the field with the name {@code path} in documents, empty if there is none. */
  public static Optional<ExceptionField> of(String path) {
    return Arrays.stream(values()).filter(field -> field.path.equals(path)).findFirst();
  }

  /** Returns the names of all fields, for messages. */
  public static String paths() {
    return Arrays.stream(values()).map(field -> field.path).collect(Collectors.joining(", "));
  }

  /** Returns the name of the field in documents. */
  public String path() {
    return path;
  }

  /** Returns the exact parts that the scope of an exception must name. */
  public List<Part> parts() {
    return parts;
  }

  /** Returns whether the field takes an amount rather than one of several words. */
  public boolean isAmount() {
    return amounts.isPresent();
  }

  /** Returns why a value is not allowed, empty if it is. */
  public Optional<String> faultOf(ExceptionValue value) {
    return switch (value) {
      case ExceptionValue.Amount amount when amounts.isEmpty() ->
          Optional.of("must be one of " + choices + ", not " + amount.value());
      case ExceptionValue.Amount amount when !amounts.get().contains(amount.value()) ->
          Optional.of(
              "must be from "
                  + amounts.get().lowerEndpoint()
                  + " to "
                  + amounts.get().upperEndpoint()
                  + ", not "
                  + amount.value());
      case ExceptionValue.Choice choice when amounts.isPresent() ->
          Optional.of("must be a whole number, not \"" + choice.value() + "\"");
      case ExceptionValue.Choice choice when !choices.contains(choice.value()) ->
          Optional.of("must be one of " + choices + ", not \"" + choice.value() + "\"");
      default -> Optional.empty();
    };
  }
}
