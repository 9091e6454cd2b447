package org.vanillacove.protocol.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

/** Compares and edits the JSON text of validated configuration documents. */
public final class ConfigurationText {
  /** Reads and writes the JSON text. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Document text used as long as no configuration exists. */
  public static final String EMPTY = "{\"defaults\":{},\"exceptions\":[]}";

  private ConfigurationText() {}

  /**
   * A field that differs between two documents.
   *
   * @param field JSON path of the field; exceptions are identified by name
   * @param before value in the first document, empty if absent
   * @param after value in the second document, empty if absent
   */
  public record Change(String field, Optional<String> before, Optional<String> after) {
    @Override
    public String toString() {
      return field + ": " + before.orElse("(none)") + " -> " + after.orElse("(none)");
    }
  }

  /** Returns the fields that differ between two documents, ordered by path. */
  public static List<Change> diff(String before, String after) {
    List<Change> changes = new ArrayList<>();
    collectChanges(
        "$", exceptionsKeyedByName(parse(before)), exceptionsKeyedByName(parse(after)), changes);
    return changes;
  }

  /** Returns {@code document} with an exception added. */
  public static String withException(String document, JsonNode exception) {
    ObjectNode root = (ObjectNode) parse(document);
    exceptions(root).add(exception);
    return root.toString();
  }

  /** Returns {@code document} without the exception called {@code name}, empty if it has none. */
  public static Optional<String> withoutException(String document, String name) {
    ObjectNode root = (ObjectNode) parse(document);
    ArrayNode exceptions = exceptions(root);
    for (int i = 0; i < exceptions.size(); i++) {
      if (exceptions.get(i).path("name").asText().equals(name)) {
        exceptions.remove(i);
        return Optional.of(root.toString());
      }
    }
    return Optional.empty();
  }

  private static ArrayNode exceptions(ObjectNode root) {
    return root.get("exceptions") instanceof ArrayNode array ? array : root.putArray("exceptions");
  }

  private static void collectChanges(
      String path, JsonNode before, JsonNode after, List<Change> changes) {
    if (before.isObject() && after.isObject()) {
      NavigableSet<String> names = new TreeSet<>();
      before.fieldNames().forEachRemaining(names::add);
      after.fieldNames().forEachRemaining(names::add);
      for (String name : names) {
        collectChanges(path + "." + name, before.path(name), after.path(name), changes);
      }
    } else if (!before.equals(after)) {
      changes.add(new Change(path, textOf(before), textOf(after)));
    }
  }

  private static Optional<String> textOf(JsonNode node) {
    return node.isMissingNode() ? Optional.empty() : Optional.of(node.toString());
  }

  private static JsonNode exceptionsKeyedByName(JsonNode root) {
    ObjectNode copy = JsonNodeFactory.instance.objectNode();
    copy.setAll((ObjectNode) root);
    ObjectNode named = copy.putObject("exceptions");
    root.path("exceptions")
        .forEach(exception -> named.set(exception.path("name").asText(), exception));
    return copy;
  }

  private static JsonNode parse(String document) {
    try {
      return MAPPER.readTree(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a validated configuration is not valid JSON", e);
    }
  }
}
