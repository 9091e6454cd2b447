package org.vanillacove.transport.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import java.util.List;
import java.util.Optional;
import org.vanillacove.coordination.api.ProposalOutcome;
import org.vanillacove.coordination.configuration.ConfigurationOutcome;
import org.vanillacove.protocol.document.FieldFault;
import org.vanillacove.transport.operator.message.OperatorJson;
import org.vanillacove.transport.operator.message.OutcomeMessage;

/** Converts values and outcomes to HTTP responses. */
final class Responses {
  private Responses() {}

  static HttpResponse ok(Object body) {
    return json(HttpStatus.OK, body);
  }

  static HttpResponse refused(HttpStatus status, String field, String reason) {
    return json(status, OutcomeMessage.refused(field, reason));
  }

  static HttpResponse badRequest(List<FieldFault> faults) {
    return json(HttpStatus.BAD_REQUEST, OutcomeMessage.refused(faults));
  }

  static HttpResponse unprocessable(List<FieldFault> faults) {
    return json(HttpStatus.UNPROCESSABLE_ENTITY, OutcomeMessage.refused(faults));
  }

  static HttpResponse notFound(String what, String id) {
    return refused(HttpStatus.NOT_FOUND, what, "there is no " + what + " " + id);
  }

  static HttpResponse of(ProposalOutcome outcome, String id) {
    return switch (outcome) {
      case ProposalOutcome.Accepted accepted -> ok(OutcomeMessage.accepted(id, accepted.offset()));
      case ProposalOutcome.Refused refused ->
          refused(HttpStatus.UNPROCESSABLE_ENTITY, refused.field(), refused.reason());
      case ProposalOutcome.Conflict conflict ->
          refused(HttpStatus.CONFLICT, "version", "lost a race, in force is " + conflict.inForce());
      case ProposalOutcome.Unknown unknown ->
          json(HttpStatus.GATEWAY_TIMEOUT, OutcomeMessage.unknown(id, unknown.reason()));
    };
  }

  static HttpResponse of(ConfigurationOutcome outcome) {
    return switch (outcome) {
      case ConfigurationOutcome.Accepted accepted ->
          ok(OutcomeMessage.accepted("configuration", accepted.version()));
      case ConfigurationOutcome.Refused refused ->
          json(HttpStatus.UNPROCESSABLE_ENTITY, OutcomeMessage.refused(refused.faults()));
      case ConfigurationOutcome.Conflict conflict ->
          json(
              HttpStatus.CONFLICT,
              OutcomeMessage.rejectedByConflict(
                  new OutcomeMessage.ConflictMessage(
                      conflict.basedOn(),
                      conflict.inForce(),
                      parseJson(conflict.document()),
                      conflict.yours(),
                      conflict.theirs())));
      case ConfigurationOutcome.Unknown unknown ->
          json(
              HttpStatus.GATEWAY_TIMEOUT,
              OutcomeMessage.unknown(unknown.proposalId(), unknown.reason()));
    };
  }

  static JsonNode parseJson(String document) {
    try {
      return OperatorJson.MAPPER.readTree(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a validated document cannot be parsed as JSON", e);
    }
  }

  static long parseNonNegative(Optional<String> text, String name, long otherwise) {
    try {
      long value = text.map(Long::parseLong).orElse(otherwise);
      if (value < 0) {
        throw new InvalidParameterException(name, "must not be negative: " + value);
      }
      return value;
    } catch (NumberFormatException e) {
      throw new InvalidParameterException(name, "must be a whole number: " + text.orElse(""));
    }
  }

  private static HttpResponse json(HttpStatus status, Object body) {
    try {
      byte[] bytes = OperatorJson.MAPPER.writeValueAsBytes(body);
      return HttpResponse.of(status, MediaType.JSON, HttpData.wrap(bytes));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a response body cannot be serialized to JSON", e);
    }
  }
}
