package org.vanillacove.protocol.configuration;

import com.google.common.base.Ascii;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.protocol.job.JobDefaults;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.RoutingSettings;
import org.vanillacove.state.api.WorkloadKind;

/** Values of a configuration at one point in time: defaults overridden by unexpired exceptions. */
public final class EffectiveConfiguration {
  /** Values for the whole fleet. */
  private final FleetDefaults defaults;

  /** Exceptions that had not expired at the time of evaluation. */
  private final List<ExceptionRule> exceptions;

  /** Evaluates {@code document} at {@code now}. */
  public EffectiveConfiguration(ConfigurationDocument document, Instant now) {
    this.defaults = document.defaults();
    this.exceptions = document.exceptions().stream().filter(rule -> !rule.isExpired(now)).toList();
  }

  /** Returns the placement settings, with the quotas of all teams. */
  public PlacementSettings placement() {
    Map<String, Resources> quotas = new HashMap<>(defaults.placement().teamQuotas());
    quotas.replaceAll(this::effectiveQuota);
    return new PlacementSettings(
        quotas,
        defaults.placement().fairShareHalfLifeMillis(),
        defaults.placement().maxPreemptionsPerTask());
  }

  /** Returns the routing settings for the entry hosts of a region. */
  public RoutingSettings routing(String region) {
    RoutingSettings base = defaults.routing();
    return new RoutingSettings(
        base.slotsPerBackend(),
        base.connectionsPerBackend(),
        (int) regionalAmount(ExceptionField.QUEUE_LIMIT, region, base.queueLimit()),
        regionalAmount(ExceptionField.DEFAULT_DEADLINE, region, base.defaultDeadlineMillis()),
        (int) regionalAmount(ExceptionField.RETRY_BUDGET, region, base.retryBudgetPercent()),
        regionalAmount(
            ExceptionField.CROSS_REGION_PENALTY, region, base.crossRegionPenaltyMillis()),
        base.slotLeaseMillis());
  }

  /** Returns the values of fields that a team's job file omits. */
  public JobDefaults jobDefaults(String team, WorkloadKind kind) {
    JobDefaults base = defaults.workloads().get(kind);
    ExceptionScope scope = workloadScope(team, kind);
    return new JobDefaults(
        choice(ExceptionField.WORKLOAD_PRIORITY, scope, PriorityClass.class, base.priority()),
        choice(ExceptionField.WORKLOAD_RERUN, scope, RerunPolicy.class, base.rerun()),
        choice(ExceptionField.WORKLOAD_LOSS, scope, LossPolicy.class, base.loss()));
  }

  /** Returns the maximum number of tasks of one job of a team in a priority class. */
  public int maxTasksPerJob(String team, PriorityClass priority) {
    ExceptionScope scope =
        new ExceptionScope(
            Optional.of(team), Optional.empty(), Optional.empty(), Optional.of(priority));
    return (int)
        amount(ExceptionField.MAX_TASKS_PER_JOB, scope, defaults.maxTasksPerJob().get(priority));
  }

  /** Returns the maximum number of timeline events that one host retains. */
  public int timelineEvents() {
    return defaults.timelineEvents();
  }

  /** Returns the value of a field, as in documents; {@code scope} must name the required parts. */
  public String valueOf(ExceptionField field, ExceptionScope scope) {
    return switch (field) {
      case QUOTA_CPU -> Long.toString(quotaOf(scope).cpuMillis());
      case QUOTA_MEMORY -> Long.toString(quotaOf(scope).memoryMib());
      case QUOTA_ACCELERATORS -> Integer.toString(quotaOf(scope).accelerators());
      case MAX_TASKS_PER_JOB ->
          Integer.toString(
              maxTasksPerJob(scope.team().orElseThrow(), scope.priority().orElseThrow()));
      case WORKLOAD_PRIORITY -> documentWord(jobDefaultsOf(scope).priority());
      case WORKLOAD_RERUN -> documentWord(jobDefaultsOf(scope).rerun());
      case WORKLOAD_LOSS -> documentWord(jobDefaultsOf(scope).loss());
      case QUEUE_LIMIT -> Integer.toString(routingOf(scope).queueLimit());
      case DEFAULT_DEADLINE -> Long.toString(routingOf(scope).defaultDeadlineMillis());
      case RETRY_BUDGET -> Integer.toString(routingOf(scope).retryBudgetPercent());
      case CROSS_REGION_PENALTY -> Long.toString(routingOf(scope).crossRegionPenaltyMillis());
    };
  }

  private Resources quotaOf(ExceptionScope scope) {
    return placement().teamQuotas().getOrDefault(scope.team().orElseThrow(), Resources.NONE);
  }

  private JobDefaults jobDefaultsOf(ExceptionScope scope) {
    return jobDefaults(scope.team().orElseThrow(), scope.workload().orElseThrow());
  }

  private RoutingSettings routingOf(ExceptionScope scope) {
    return routing(scope.region().orElseThrow());
  }

  private static String documentWord(Enum<?> constant) {
    return Ascii.toLowerCase(constant.name()).replace('_', '-');
  }

  private Resources effectiveQuota(String team, Resources base) {
    ExceptionScope scope = teamScope(team);
    return new Resources(
        amount(ExceptionField.QUOTA_CPU, scope, base.cpuMillis()),
        amount(ExceptionField.QUOTA_MEMORY, scope, base.memoryMib()),
        (int) amount(ExceptionField.QUOTA_ACCELERATORS, scope, base.accelerators()));
  }

  private long regionalAmount(ExceptionField field, String region, long defaultValue) {
    ExceptionScope scope =
        new ExceptionScope(
            Optional.empty(), Optional.of(region), Optional.empty(), Optional.empty());
    return amount(field, scope, defaultValue);
  }

  private long amount(ExceptionField field, ExceptionScope scope, long defaultValue) {
    return find(field, scope)
        .map(value -> value instanceof ExceptionValue.Amount amount ? amount.value() : defaultValue)
        .orElse(defaultValue);
  }

  private <E extends Enum<E>> E choice(
      ExceptionField field, ExceptionScope scope, Class<E> type, E defaultValue) {
    return find(field, scope)
        .map(value -> Enum.valueOf(type, Ascii.toUpperCase(value.toString()).replace('-', '_')))
        .orElse(defaultValue);
  }

  private Optional<ExceptionValue> find(ExceptionField field, ExceptionScope scope) {
    return exceptions.stream()
        .filter(rule -> rule.field() == field && rule.scope().equals(scope))
        .map(ExceptionRule::value)
        .findFirst();
  }

  private static ExceptionScope teamScope(String team) {
    return new ExceptionScope(
        Optional.of(team), Optional.empty(), Optional.empty(), Optional.empty());
  }

  private static ExceptionScope workloadScope(String team, WorkloadKind kind) {
    return new ExceptionScope(
        Optional.of(team), Optional.empty(), Optional.of(kind), Optional.empty());
  }
}
