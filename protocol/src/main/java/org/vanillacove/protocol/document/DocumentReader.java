package org.vanillacove.protocol.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.base.Ascii;
import com.google.common.io.Resources;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SchemaRegistryConfig;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.path.PathType;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Parses JSON text strictly and validates it against a schema; thread-safe. */
public final class DocumentReader {
  /** Maximum length of a document in characters. */
  private static final int MAX_DOCUMENT_CHARACTERS = 256 * 1024;

  /** Maximum nesting depth of objects and arrays. */
  private static final int MAX_NESTING = 32;

  /** Maximum length of a string in characters. */
  private static final int MAX_STRING_CHARACTERS = 16 * 1024;

  /** Maximum length of a number in characters. */
  private static final int MAX_NUMBER_CHARACTERS = 32;

  /** Maximum length of a field name in characters. */
  private static final int MAX_NAME_CHARACTERS = 256;

  /** Maximum length in characters of a parser's message that is passed on. */
  private static final int MAX_MESSAGE_CHARACTERS = 300;

  /** Pattern by which schemas require a text that is not blank. */
  private static final String NOT_BLANK = "\\S";

  /**
   * Start of the parser's message about a field name that is too long. The parsing context then
   * still holds the previous field name.
   */
  private static final String NAME_TOO_LONG_PREFIX = "Name ";

  /** JSON path of the whole document. */
  private static final String ROOT_PATH = "$";

  /** Strict parser that rejects duplicate field names and exceeded limits. */
  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                  .streamReadConstraints(
                      StreamReadConstraints.builder()
                          .maxNestingDepth(MAX_NESTING)
                          .maxStringLength(MAX_STRING_CHARACTERS)
                          .maxNumberLength(MAX_NUMBER_CHARACTERS)
                          .maxNameLength(MAX_NAME_CHARACTERS)
                          .build())
                  .build())
          .build();

  /** Schema that documents are validated against. */
  private final Schema schema;

  /** Creates a reader whose schema is a resource in the package of {@code owner}. */
  public DocumentReader(Class<?> owner, String schemaResource) {
    this.schema = loadSchema(owner, schemaResource);
  }

  /** Parses {@code text} and validates it against the schema. */
  public DocumentOutcome<JsonNode> read(String text) {
    return parse(text).flatMap(this::check);
  }

  private DocumentOutcome<JsonNode> check(JsonNode root) {
    List<FieldFault> faults = new ArrayList<>();
    for (Error error : schema.validate(root)) {
      faults.add(new FieldFault(pathOf(error), reasonOf(error)));
    }
    return DocumentOutcome.of(root, faults);
  }

  private static DocumentOutcome<JsonNode> parse(String text) {
    if (text.length() > MAX_DOCUMENT_CHARACTERS) {
      return rejected(ROOT_PATH, "longer than " + MAX_DOCUMENT_CHARACTERS + " characters");
    }
    try (JsonParser parser = MAPPER.createParser(text)) {
      return parse(parser);
    } catch (IOException e) {
      return rejected(ROOT_PATH, messageOf(e));
    }
  }

  private static DocumentOutcome<JsonNode> parse(JsonParser parser) throws IOException {
    try {
      JsonNode root = MAPPER.readTree(parser);
      if (root == null || root.isMissingNode()) {
        return rejected(ROOT_PATH, "the document is empty");
      }
      return parser.nextToken() == null
          ? new DocumentOutcome.Accepted<>(root)
          : rejected(ROOT_PATH, "text follows the end of the document");
    } catch (StreamConstraintsException e) {
      JsonPointer position = parser.getParsingContext().pathAsPointer();
      boolean inName = e.getOriginalMessage().startsWith(NAME_TOO_LONG_PREFIX);
      return rejected(
          jsonPath(inName && !position.matches() ? position.head() : position),
          "too long or nested too deeply: " + messageOf(e));
    } catch (JsonProcessingException e) {
      return rejected(jsonPath(parser.getParsingContext().pathAsPointer()), messageOf(e));
    }
  }

  private static <T> DocumentOutcome<T> rejected(String field, String reason) {
    return new DocumentOutcome.Rejected<>(List.of(new FieldFault(field, reason)));
  }

  private static String pathOf(Error error) {
    String parent = error.getInstanceLocation().toString();
    return error.getProperty() == null ? parent : parent + "." + error.getProperty();
  }

  private static String reasonOf(Error error) {
    return switch (error.getKeyword()) {
      case "additionalProperties" -> "unknown field";
      case "required" -> "a required field is missing";
      case "pattern" ->
          error.getSchemaNode().asText().equals(NOT_BLANK)
              ? "must not be blank"
              : error.getMessage();
      default -> error.getMessage();
    };
  }

  private static String jsonPath(JsonPointer pointer) {
    StringBuilder path = new StringBuilder(ROOT_PATH);
    for (JsonPointer part = pointer; !part.matches(); part = part.tail()) {
      if (part.getMatchingIndex() >= 0) {
        path.append('[').append(part.getMatchingIndex()).append(']');
      } else {
        path.append('.').append(part.getMatchingProperty());
      }
    }
    return path.toString();
  }

  private static String messageOf(IOException e) {
    String message =
        e instanceof JsonProcessingException json
            ? json.getOriginalMessage() + locationOf(json)
            : String.valueOf(e.getMessage());
    return Ascii.truncate(message.replace('\n', ' '), MAX_MESSAGE_CHARACTERS, "...");
  }

  private static String locationOf(JsonProcessingException e) {
    return e.getLocation() == null
        ? ""
        : " (line "
            + e.getLocation().getLineNr()
            + ", column "
            + e.getLocation().getColumnNr()
            + ")";
  }

  private static Schema loadSchema(Class<?> owner, String schemaResource) {
    try {
      String text =
          Resources.toString(Resources.getResource(owner, schemaResource), StandardCharsets.UTF_8);
      SchemaRegistryConfig config =
          SchemaRegistryConfig.builder().pathType(PathType.JSON_PATH).locale(Locale.ROOT).build();
      return SchemaRegistry.withDefaultDialect(
              SpecificationVersion.DRAFT_2020_12, builder -> builder.schemaRegistryConfig(config))
          .getSchema(text);
    } catch (IOException e) {
      throw new UncheckedIOException(
          "cannot read the schema " + schemaResource + " from the class path", e);
    }
  }
}
