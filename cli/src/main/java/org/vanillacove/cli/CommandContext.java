package org.vanillacove.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.document.FieldFault;
import org.vanillacove.transport.operator.message.OperatorJson;
import org.vanillacove.transport.operator.message.OutcomeMessage;

/** Gives commands access to files, output and the entry host, and prints errors. */
final class CommandContext {
  /** Maximum size of an input file, in bytes. */
  private static final long MAX_FILE_BYTES = 1 << 20;

  /** Streams, clock and working directory. */
  private final CliEnvironment environment;

  /** Sends requests to the entry host. */
  private final OperatorClient client;

  /** Whether to print JSON instead of tables. */
  private final boolean json;

  CommandContext(CliEnvironment environment, OperatorClient client, boolean json) {
    this.environment = environment;
    this.client = client;
    this.json = json;
  }

  CliEnvironment environment() {
    return environment;
  }

  OperatorClient client() {
    return client;
  }

  boolean isJson() {
    return json;
  }

  /** Prints a line on standard output. */
  void print(String line) {
    environment.out().println(line);
  }

  /** Prints a line on standard error. */
  void printError(String line) {
    environment.err().println(line);
  }

  /** Prints a value as JSON. */
  void printJson(Object value) {
    print(write(value, json));
  }

  /** Prints an error and returns {@code code}. */
  int fail(int code, String message) {
    printError("error: " + message);
    return code;
  }

  /** Reads a file; if that fails, prints an error and returns empty. */
  Optional<String> readFile(String name) {
    Path path = environment.directory().resolve(name);
    try {
      if (Files.size(path) > MAX_FILE_BYTES) {
        fail(ExitCode.BAD_INPUT, name + ": longer than " + MAX_FILE_BYTES + " bytes");
        return Optional.empty();
      }
      return Optional.of(Files.readString(path, StandardCharsets.UTF_8));
    } catch (CharacterCodingException e) {
      fail(ExitCode.BAD_INPUT, name + ": not UTF-8 text");
    } catch (IOException e) {
      fail(ExitCode.BAD_INPUT, name + ": cannot be read (" + e.getClass().getSimpleName() + ")");
    }
    return Optional.empty();
  }

  /** Prints the validation errors of a file and returns the exit code. */
  int failFaults(String file, DocumentOutcome.Rejected<?> rejected) {
    for (FieldFault fault : rejected.faults()) {
      printError("error: " + file + ": " + fault);
    }
    return ExitCode.BAD_INPUT;
  }

  /** Passes the response to a query to {@code shown} or prints an error; returns the exit code. */
  <T> int handleQuery(ClientOutcome outcome, TypeReference<T> type, Consumer<T> shown) {
    return switch (outcome) {
      case ClientOutcome.Answered answered when answered.isSuccess() -> {
        if (json) {
          printJson(answered.body());
        } else {
          shown.accept(OperatorJson.MAPPER.convertValue(answered.body(), type));
        }
        yield ExitCode.SUCCESS;
      }
      case ClientOutcome.Answered answered -> failResponse(answered);
      case ClientOutcome.NotSent notSent ->
          fail(ExitCode.UNREACHABLE, "the entry host cannot be reached: " + notSent.reason());
      case ClientOutcome.NoResponse noAnswer ->
          fail(ExitCode.UNREACHABLE, "the entry host did not answer: " + noAnswer.reason());
    };
  }

  /** Passes the outcome of a change to {@code done} or prints an error; returns the exit code. */
  int handleChange(ClientOutcome outcome, String what, Consumer<OutcomeMessage> done) {
    return switch (outcome) {
      case ClientOutcome.Answered answered when answered.isSuccess() -> {
        OutcomeMessage message =
            OperatorJson.MAPPER.convertValue(answered.body(), OutcomeMessage.class);
        if (json) {
          printJson(answered.body());
        } else {
          done.accept(message);
        }
        yield ExitCode.SUCCESS;
      }
      case ClientOutcome.Answered answered -> failResponse(answered);
      case ClientOutcome.NotSent notSent ->
          fail(
              ExitCode.UNREACHABLE,
              "the entry host cannot be reached, " + what + " was not sent: " + notSent.reason());
      case ClientOutcome.NoResponse noAnswer ->
          fail(
              ExitCode.UNKNOWN,
              "no response, it is unknown whether " + what + " took effect: " + noAnswer.reason());
    };
  }

  /** Serializes {@code value} to JSON, on one line if {@code compact}. */
  static String write(Object value, boolean compact) {
    try {
      return compact
          ? OperatorJson.MAPPER.writeValueAsString(value)
          : OperatorJson.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a value cannot be serialized to JSON", e);
    }
  }

  /** Serializes an object with the given fields to JSON. */
  static String body(Map<String, ?> fields) {
    return write(fields, true);
  }

  private int failResponse(ClientOutcome.Answered answered) {
    JsonNode body = answered.body();
    if (json) {
      printJson(body);
    }
    if (!body.isObject() || !body.has("result")) {
      return fail(ExitCode.UNKNOWN, "the entry host answered with status " + answered.status());
    }
    OutcomeMessage message = OperatorJson.MAPPER.convertValue(body, OutcomeMessage.class);
    for (FieldFault fault : message.faults()) {
      printError("error: " + (fault.field().isEmpty() ? fault.reason() : fault.toString()));
    }
    return switch (message.result()) {
      case UNKNOWN ->
          fail(
              ExitCode.UNKNOWN,
              "the outcome is unknown, query the state of "
                  + message.id().orElse("the resource")
                  + ": "
                  + message.reason().orElse(""));
      case CONFLICT -> {
        message.conflict().ifPresent(this::printConflict);
        yield ExitCode.REFUSED;
      }
      case ACCEPTED, REFUSED -> answered.status() == 400 ? ExitCode.BAD_INPUT : ExitCode.REFUSED;
    };
  }

  private void printConflict(OutcomeMessage.ConflictMessage conflict) {
    printError(
        "error: conflict: based on version "
            + conflict.basedOn()
            + ", but version "
            + conflict.inForce()
            + " is in force");
    printError("yours, not in force:");
    conflict.yours().forEach(change -> printError("  " + change));
    printError("theirs, in force:");
    if (conflict.theirs().isEmpty()) {
      printError("  (version " + conflict.basedOn() + " is no longer stored, see config show)");
    }
    conflict.theirs().forEach(change -> printError("  " + change));
  }
}
