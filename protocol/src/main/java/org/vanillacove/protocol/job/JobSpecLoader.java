package org.vanillacove.protocol.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
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
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.PriorityClass;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkloadKind;

/** Parses and validates job files; thread-safe. */
public final class JobSpecLoader {
  /** Parses the JSON text and checks it against the schema. */
  private final DocumentReader reader = new DocumentReader(JobSpecLoader.class, "job.schema.json");

  /** Supplies the values of omitted fields. */
  private final JobDefaults.Source defaults;

  /** Creates a loader with the built-in defaults. */
  public JobSpecLoader() {
    this((team, kind) -> JobDefaults.of(kind));
  }

  /** Creates a loader with defaults by team and kind of workload. */
  public JobSpecLoader(JobDefaults.Source defaults) {
    this.defaults = defaults;
  }

  /** Parses a job file from JSON text. */
  public DocumentOutcome<JobSpec> load(String text) {
    return reader.read(text).flatMap(this::toSpec);
  }

  private DocumentOutcome<JobSpec> toSpec(JsonNode root) {
    WorkloadKind kind = parseEnum(WorkloadKind.class, root.path("kind").asText());
    String team = root.path("team").asText();
    JobDefaults values = defaults.of(team, kind);
    JobSpec spec =
        new JobSpec(
            root.path("name").asText(),
            team,
            kind,
            parseEnumOrDefault(PriorityClass.class, root.path("priority"), values.priority()),
            root.path("tasks").asInt(1),
            parseResources(root.path("resources")),
            parseConstraints(root.path("constraints")),
            parseEnumOrDefault(RerunPolicy.class, root.path("rerun"), values.rerun()),
            parseEnumOrDefault(LossPolicy.class, root.path("loss"), values.loss()),
            root.path("checkpointable").asBoolean(false),
            root.path("expectedRunMillis").asLong(0),
            root.path("command").asText());
    return DocumentOutcome.of(spec, crossFieldFaults(spec));
  }

  private static List<FieldFault> crossFieldFaults(JobSpec spec) {
    List<FieldFault> faults = new ArrayList<>();
    if (spec.kind() == WorkloadKind.SERVICE && spec.rerun() == RerunPolicy.AT_MOST_ONCE) {
      faults.add(
          new FieldFault("$.rerun", "a service is replaced when lost, so it must be \"rerun\""));
    }
    if (spec.kind() == WorkloadKind.SERVICE && spec.expectedRunMillis() > 0) {
      faults.add(new FieldFault("$.expectedRunMillis", "a service is open-ended, leave it out"));
    }
    if (spec.kind() == WorkloadKind.GANG && spec.taskCount() < 2) {
      faults.add(new FieldFault("$.tasks", "a gang has at least two tasks"));
    }
    if (spec.constraints().acceleratorKind().isPresent() && spec.resources().accelerators() == 0) {
      faults.add(
          new FieldFault(
              "$.constraints.acceleratorKind", "names a kind, but no accelerators are requested"));
    }
    return faults;
  }

  private static Resources parseResources(JsonNode node) {
    return new Resources(
        node.path("cpuMillis").asLong(),
        node.path("memoryMib").asLong(),
        node.path("accelerators").asInt(0));
  }

  private static PlacementConstraints parseConstraints(JsonNode node) {
    Map<String, String> labels = new HashMap<>();
    node.path("labels").forEachEntry((name, value) -> labels.put(name, value.asText()));
    return new PlacementConstraints(
        textSet(node.path("regions")),
        textSet(node.path("zones")),
        textSet(node.path("racks")),
        labels,
        Optional.ofNullable(node.get("acceleratorKind")).map(JsonNode::asText));
  }

  private static Set<String> textSet(JsonNode node) {
    Set<String> names = new HashSet<>();
    node.forEach(name -> names.add(name.asText()));
    return names;
  }

  private static <E extends Enum<E>> E parseEnumOrDefault(
      Class<E> type, JsonNode node, E defaultValue) {
    return node.isMissingNode() ? defaultValue : parseEnum(type, node.asText());
  }

  private static <E extends Enum<E>> E parseEnum(Class<E> type, String text) {
    return Enum.valueOf(type, Ascii.toUpperCase(text).replace('-', '_'));
  }
}
