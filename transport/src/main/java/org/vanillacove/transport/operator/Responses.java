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

/** Turns values and outcomes into answers. */
final class Responses {
  private Responses() {}

  static HttpResponse ok(Object body) {
    return body(HttpStatus.OK, body);
  }

  static HttpResponse refused(HttpStatus status, String field, String reason) {
    return body(status, OutcomeMessage.refused(field, reason));
  }

  static HttpResponse badRequest(List<FieldFault> faults) {
    return body(HttpStatus.BAD_REQUEST, OutcomeMessage.refused(faults));
  }

  static HttpResponse unprocessable(List<FieldFault> faults) {
    return body(HttpStatus.UNPROCESSABLE_ENTITY, OutcomeMessage.refused(faults));
  }

  static HttpResponse notFound(String what, String id) {
    return refused(HttpStatus.NOT_FOUND, what, "there is no " + what + " " + id);
  }

  static HttpResponse of(ProposalOutcome outcome, String id) {
    return switch (outcome) {
      case ProposalOutcome.Accepted accepted -> ok(OutcomeMessage.accepted(id, accepted.offset()));
      case ProposalOutcome.Refused refused ->
          refused(HttpStatus.UNPROCESSABLE_ENTITY, refused.field(), refused.reason());
      case ProposalOutcome.Conflict lost ->
          refused(HttpStatus.CONFLICT, "version", "lost a race, in force is " + lost.inForce());
      case ProposalOutcome.Unknown unknown ->
          body(HttpStatus.GATEWAY_TIMEOUT, OutcomeMessage.unknown(id, unknown.reason()));
    };
  }

  static HttpResponse of(ConfigurationOutcome outcome) {
    return switch (outcome) {
      case ConfigurationOutcome.Accepted accepted ->
          ok(OutcomeMessage.accepted("configuration", accepted.version()));
      case ConfigurationOutcome.Refused refused ->
          body(HttpStatus.UNPROCESSABLE_ENTITY, OutcomeMessage.refused(refused.faults()));
      case ConfigurationOutcome.Conflict lost ->
          body(
              HttpStatus.CONFLICT,
              OutcomeMessage.lost(
                  new OutcomeMessage.ConflictMessage(
                      lost.basedOn(),
                      lost.inForce(),
                      parse(lost.document()),
                      lost.yours(),
                      lost.theirs())));
      case ConfigurationOutcome.Unknown unknown ->
          body(
              HttpStatus.GATEWAY_TIMEOUT,
              OutcomeMessage.unknown(unknown.proposalId(), unknown.reason()));
    };
  }

  static JsonNode parse(String document) {
    try {
      return OperatorJson.MAPPER.readTree(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a document that passed its checks is not JSON", e);
    }
  }

  static long number(Optional<String> text, String name, long otherwise) {
    try {
      long value = text.map(Long::parseLong).orElse(otherwise);
      if (value < 0) {
        throw new BadParameterException(name, "must not be negative: " + value);
      }
      return value;
    } catch (NumberFormatException e) {
      throw new BadParameterException(name, "must be a whole number: " + text.orElse(""));
    }
  }

  private static HttpResponse body(HttpStatus status, Object body) {
    try {
      byte[] bytes = OperatorJson.MAPPER.writeValueAsBytes(body);
      return HttpResponse.of(status, MediaType.JSON, HttpData.wrap(bytes));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a body cannot be written", e);
    }
  }
}
