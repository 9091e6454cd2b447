package org.vanillacove.transport.operator;

import com.google.common.base.Throwables;
import com.google.common.flogger.FluentLogger;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServiceRequestContext;
import com.linecorp.armeria.server.annotation.ExceptionHandlerFunction;

/** Converts exceptions thrown while a request is handled to HTTP responses. */
final class OperatorExceptionHandler implements ExceptionHandlerFunction {
  /** Logs unexpected exceptions. */
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  @Override
  public HttpResponse handleException(
      ServiceRequestContext context, HttpRequest request, Throwable cause) {
    Throwable root = Throwables.getRootCause(cause);
    if (root instanceof ContentTooLargeException) {
      return Responses.refused(HttpStatus.REQUEST_ENTITY_TOO_LARGE, "$", "the body is too long");
    }
    if (root instanceof InvalidParameterException bad) {
      return Responses.refused(HttpStatus.BAD_REQUEST, bad.field(), bad.reason());
    }
    if (root instanceof IllegalArgumentException) {
      return Responses.refused(HttpStatus.BAD_REQUEST, "request", root.getMessage());
    }
    LOGGER.atSevere().withCause(cause).log(
        "operator: unexpected exception while handling a request");
    return Responses.refused(
        HttpStatus.INTERNAL_SERVER_ERROR, "", "internal error, see the log of the host");
  }
}
