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

/** What a command works with. */
final class CommandContext {
  /** Longest file that is read, in bytes. */
  private static final long MAX_FILE_BYTES = 1 << 20;

  /** Surroundings. */
  private final CliEnvironment environment;

  /** Requests to the entry host. */
  private final OperatorClient client;

  /** Whether output is JSON, not tables. */
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

  /** Reads a file, empty after an error message. */
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

  /** Prints the faults of a file and returns the exit code for them. */
  int failFaults(String file, DocumentOutcome.Rejected<?> rejected) {
    for (FieldFault fault : rejected.faults()) {
      printError("error: " + file + ": " + fault);
    }
    return ExitCode.BAD_INPUT;
  }

  /** Hands the answer to a question to {@code shown}, or prints what went wrong. */
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

  /** Hands the outcome of a change to {@code done}, or prints what went wrong. */
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
              "no answer, whether " + what + " took effect is unknown: " + noAnswer.reason());
    };
  }

  /** Writes {@code value} as JSON, on one line if {@code compact}. */
  static String write(Object value, boolean compact) {
    try {
      return compact
          ? OperatorJson.MAPPER.writeValueAsString(value)
          : OperatorJson.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a value cannot be written as JSON", e);
    }
  }

  /** Writes an object with the given fields as JSON. */
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
              "the outcome is unknown, ask again for "
                  + message.id().orElse("it")
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
      printError("  (version " + conflict.basedOn() + " is no longer kept, see config show)");
    }
    conflict.theirs().forEach(change -> printError("  " + change));
  }
}
