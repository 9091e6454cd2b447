package org.vanillacove.protocol.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Range;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.vanillacove.protocol.configuration.ExceptionScope.Part;

/** A field of the fleet defaults that an exception may change. */
public enum ExceptionField {
  /** Processor quota of a team in thousandths of a core. */
  QUOTA_CPU("quota.cpuMillis", Range.closed(0L, 1_000_000_000_000L), Part.TEAM),

  /** Memory quota of a team in mebibytes. */
  QUOTA_MEMORY("quota.memoryMib", Range.closed(0L, 1_000_000_000_000L), Part.TEAM),

  /** Accelerator quota of a team in devices. */
  QUOTA_ACCELERATORS("quota.accelerators", Range.closed(0L, 1_000_000L), Part.TEAM),

  /** Most tasks of one job of a team in a class. */
  MAX_TASKS_PER_JOB("class.maxTasksPerJob", Range.closed(1L, 10_000L), Part.TEAM, Part.CLASS),

  /** Priority class of a team's jobs that name none. */
  WORKLOAD_PRIORITY(
      "workload.priority", List.of("urgent", "normal", "low"), Part.TEAM, Part.WORKLOAD),

  /** Whether tasks of a team's jobs that do not say may be started again. */
  WORKLOAD_RERUN("workload.rerun", List.of("at-most-once", "rerun"), Part.TEAM, Part.WORKLOAD),

  /** What happens to unreachable tasks of a team's jobs that do not say. */
  WORKLOAD_LOSS("workload.loss", List.of("move", "keep"), Part.TEAM, Part.WORKLOAD),

  /** Requests an entry host of a region holds waiting. */
  QUEUE_LIMIT("routing.queueLimit", Range.closed(0L, 100_000L), Part.REGION),

  /** Deadline in a region of a request that names none, in milliseconds. */
  DEFAULT_DEADLINE("routing.defaultDeadlineMillis", Range.closed(10L, 3_600_000L), Part.REGION),

  /** Retries allowed in a region for each hundred requests. */
  RETRY_BUDGET("routing.retryBudgetPercent", Range.closed(0L, 100L), Part.REGION),

  /** Wait that must be saved for a request of a region to cross regions, in milliseconds. */
  CROSS_REGION_PENALTY("routing.crossRegionPenaltyMillis", Range.closed(0L, 60_000L), Part.REGION);

  /** Name in documents. */
  private final String path;

  /** Allowed amounts, empty for a field with choices. */
  private final Optional<Range<Long>> amounts;

  /** Allowed texts, none for a field with amounts. */
  private final ImmutableList<String> choices;

  /** Parts that the scope must name, no others. */
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

  /** Returns the field that documents call {@code path}. */
  public static Optional<ExceptionField> of(String path) {
    return Arrays.stream(values()).filter(field -> field.path.equals(path)).findFirst();
  }

  /** Returns the names of all fields, for messages. */
  public static String paths() {
    return Arrays.stream(values()).map(field -> field.path).collect(Collectors.joining(", "));
  }

  /** Returns the name in documents. */
  public String path() {
    return path;
  }

  /** Returns the parts that the scope of an exception must name. */
  public List<Part> parts() {
    return parts;
  }

  /** Returns whether values are amounts, not choices. */
  public boolean isAmount() {
    return amounts.isPresent();
  }

  /** Returns what is wrong with a value, empty if it is allowed. */
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
