package org.vanillacove.protocol.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.document.DocumentReader;
import org.vanillacove.protocol.document.FieldFault;
import org.vanillacove.protocol.job.JobDefaults;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementSettings;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.RoutingSettings;
import org.vanillacove.state.api.WorkloadKind;

/** Parses and validates configuration documents; thread-safe. */
public final class ConfigurationLoader {
  /** Parses the JSON text and checks it against the schema. */
  private final DocumentReader reader =
      new DocumentReader(ConfigurationLoader.class, "configuration.schema.json");

  /** Parses a document from JSON text and checks its fields against each other. */
  public DocumentOutcome<ConfigurationDocument> load(String text) {
    return reader.read(text).flatMap(ConfigurationLoader::toDocument);
  }

  private static DocumentOutcome<ConfigurationDocument> toDocument(JsonNode root) {
    List<FieldFault> faults = new ArrayList<>();
    FleetDefaults defaults = parseDefaults(root.path("defaults"));
    checkDefaults(defaults, faults);
    List<ExceptionRule> rules = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    JsonNode exceptions = root.path("exceptions");
    for (int i = 0; i < exceptions.size(); i++) {
      String path = "$.exceptions[" + i + "]";
      parseException(exceptions.get(i), path, faults)
          .ifPresent(
              rule -> {
                checkException(rule, path, defaults, seen, faults);
                rules.add(rule);
              });
    }
    return DocumentOutcome.of(new ConfigurationDocument(defaults, rules), faults);
  }

  private static FleetDefaults parseDefaults(JsonNode node) {
    Map<PriorityClass, Integer> limits = new HashMap<>();
    node.path("classes")
        .forEachEntry(
            (name, limit) ->
                limits.put(
                    parseEnum(PriorityClass.class, name),
                    limit.path("maxTasksPerJob").asInt(FleetDefaults.MAX_TASKS_PER_JOB)));
    return new FleetDefaults(
        parseWorkloads(node.path("workloads")),
        parsePlacement(node),
        node.path("quotaOvercommitPercent").asInt(FleetDefaults.QUOTA_OVERCOMMIT_PERCENT),
        limits,
        parseRouting(node.path("routing")),
        node.path("retention").path("timelineEvents").asInt(FleetDefaults.TIMELINE_EVENTS));
  }

  private static Map<WorkloadKind, JobDefaults> parseWorkloads(JsonNode node) {
    Map<WorkloadKind, JobDefaults> workloads = new HashMap<>();
    node.forEachEntry(
        (name, values) -> {
          WorkloadKind kind = parseEnum(WorkloadKind.class, name);
          JobDefaults base = JobDefaults.of(kind);
          workloads.put(
              kind,
              new JobDefaults(
                  parseEnumOrDefault(PriorityClass.class, values.get("priority"), base.priority()),
                  parseEnumOrDefault(RerunPolicy.class, values.get("rerun"), base.rerun()),
                  parseEnumOrDefault(LossPolicy.class, values.get("loss"), base.loss())));
        });
    return workloads;
  }

  private static PlacementSettings parsePlacement(JsonNode node) {
    Map<String, Resources> quotas = new HashMap<>();
    node.path("quotas")
        .forEachEntry(
            (team, quota) ->
                quotas.put(
                    team,
                    new Resources(
                        quota.path("cpuMillis").asLong(),
                        quota.path("memoryMib").asLong(),
                        quota.path("accelerators").asInt(0))));
    JsonNode values = node.path("placement");
    PlacementSettings base = PlacementSettings.DEFAULTS;
    return new PlacementSettings(
        quotas,
        values.path("fairShareHalfLifeMillis").asLong(base.fairShareHalfLifeMillis()),
        values.path("maxPreemptionsPerTask").asInt(base.maxPreemptionsPerTask()));
  }

  private static RoutingSettings parseRouting(JsonNode node) {
    RoutingSettings base = RoutingSettings.DEFAULTS;
    return new RoutingSettings(
        node.path("slotsPerBackend").asInt(base.slotsPerBackend()),
        node.path("connectionsPerBackend").asInt(base.connectionsPerBackend()),
        node.path("queueLimit").asInt(base.queueLimit()),
        node.path("defaultDeadlineMillis").asLong(base.defaultDeadlineMillis()),
        node.path("retryBudgetPercent").asInt(base.retryBudgetPercent()),
        node.path("crossRegionPenaltyMillis").asLong(base.crossRegionPenaltyMillis()),
        node.path("slotLeaseMillis").asLong(base.slotLeaseMillis()));
  }

  private static void checkDefaults(FleetDefaults defaults, List<FieldFault> faults) {
    JobDefaults service = defaults.workloads().get(WorkloadKind.SERVICE);
    if (service.rerun() == RerunPolicy.AT_MOST_ONCE) {
      faults.add(
          new FieldFault(
              "$.defaults.workloads.service.rerun",
              "a service is replaced when lost, so it must be \"rerun\""));
    }
    RoutingSettings routing = defaults.routing();
    if (routing.connectionsPerBackend() < routing.slotsPerBackend()) {
      faults.add(
          new FieldFault(
              "$.defaults.routing.connectionsPerBackend",
              "fewer than the " + routing.slotsPerBackend() + " slots of a backend server"));
    }
    if (routing.crossRegionPenaltyMillis() > routing.defaultDeadlineMillis()) {
      faults.add(
          new FieldFault(
              "$.defaults.routing.crossRegionPenaltyMillis",
              "longer than the default deadline of " + routing.defaultDeadlineMillis() + " ms"));
    }
  }

  private static Optional<ExceptionRule> parseException(
      JsonNode node, String path, List<FieldFault> faults) {
    Optional<ExceptionField> field = ExceptionField.of(node.path("field").asText());
    if (field.isEmpty()) {
      faults.add(
          new FieldFault(
              path + ".field", "no such field; known fields are " + ExceptionField.paths()));
    }
    JsonNode value = node.path("value");
    if (value.isNumber() && !value.canConvertToLong()) {
      faults.add(new FieldFault(path + ".value", "out of range: " + value));
    }
    Optional<Instant> expires = Optional.empty();
    if (node.has("expires")) {
      expires = parseInstant(node.path("expires").asText());
      if (expires.isEmpty()) {
        faults.add(new FieldFault(path + ".expires", "no such date or time"));
      }
    }
    Optional<Instant> expiry = expires;
    return field.map(
        known ->
            new ExceptionRule(
                node.path("name").asText(),
                parseScope(node.path("scope")),
                known,
                parseValue(value),
                node.path("reason").asText(),
                node.path("owner").asText(),
                expiry));
  }

  private static void checkException(
      ExceptionRule rule,
      String path,
      FleetDefaults defaults,
      Set<String> seen,
      List<FieldFault> faults) {
    if (!rule.scope().parts().equals(rule.field().parts())) {
      faults.add(
          new FieldFault(
              path + ".scope",
              "must name "
                  + Ascii.toLowerCase(rule.field().parts().toString())
                  + " for "
                  + rule.field().path()));
    }
    rule.field()
        .faultOf(rule.value())
        .ifPresent(fault -> faults.add(new FieldFault(path + ".value", fault)));
    rule.scope()
        .team()
        .filter(team -> !defaults.placement().teamQuotas().containsKey(team))
        .ifPresent(
            team ->
                faults.add(
                    new FieldFault(
                        path + ".scope.team",
                        "unknown team " + team + ", it has no quota in $.defaults.quotas")));
    if (rule.field() == ExceptionField.WORKLOAD_RERUN
        && rule.scope().workload().equals(Optional.of(WorkloadKind.SERVICE))
        && rule.value().toString().equals("at-most-once")) {
      faults.add(
          new FieldFault(
              path + ".value", "a service is replaced when lost, so it must be \"rerun\""));
    }
    if (!seen.add("name " + rule.name())) {
      faults.add(new FieldFault(path + ".name", "named twice: " + rule.name()));
    }
    if (!seen.add(rule.field() + " " + rule.scope())) {
      faults.add(
          new FieldFault(
              path, "a second exception for " + rule.field().path() + " of " + rule.scope()));
    }
  }

  private static ExceptionScope parseScope(JsonNode node) {
    return new ExceptionScope(
        Optional.ofNullable(node.get("team")).map(JsonNode::asText),
        Optional.ofNullable(node.get("region")).map(JsonNode::asText),
        Optional.ofNullable(node.get("workload"))
            .map(kind -> parseEnum(WorkloadKind.class, kind.asText())),
        Optional.ofNullable(node.get("class"))
            .map(priority -> parseEnum(PriorityClass.class, priority.asText())));
  }

  private static ExceptionValue parseValue(JsonNode node) {
    return node.isTextual()
        ? new ExceptionValue.Choice(node.asText())
        : new ExceptionValue.Amount(node.asLong());
  }

  private static Optional<Instant> parseInstant(String text) {
    try {
      return Optional.of(Instant.parse(text));
    } catch (DateTimeException e) {
      return Optional.empty();
    }
  }

  private static <E extends Enum<E>> E parseEnumOrDefault(
      Class<E> type, JsonNode node, E defaultValue) {
    return node == null ? defaultValue : parseEnum(type, node.asText());
  }

  private static <E extends Enum<E>> E parseEnum(Class<E> type, String text) {
    return Enum.valueOf(type, Ascii.toUpperCase(text).replace('-', '_'));
  }
}
