package org.vanillacove.transport.operator;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import com.linecorp.armeria.server.SimpleDecoratingHttpService;
import io.netty.util.AttributeKey;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.protocol.settings.OperatorRole;
import org.vanillacove.protocol.timeline.TimelineRecorder;
import org.vanillacove.transport.operator.access.Principal;
import org.vanillacove.transport.operator.access.TokenAuthority;

/** Authenticates requests, checks that the role permits the method and stores the principal. */
final class AccessDecorator extends SimpleDecoratingHttpService {
  /** Attribute of the request context that holds the authenticated principal. */
  private static final AttributeKey<Principal> PRINCIPAL =
      AttributeKey.valueOf(AccessDecorator.class, "PRINCIPAL");

  /** Authenticates the token of a request. */
  private final TokenAuthority authority;

  /** Records an event for each attempted change. */
  private final TimelineRecorder recorder;

  AccessDecorator(HttpService delegate, TokenAuthority authority, TimelineRecorder recorder) {
    super(delegate);
    this.authority = authority;
    this.recorder = recorder;
  }

  static Principal principal(ServiceRequestContext context) {
    return context.attr(PRINCIPAL);
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    Optional<String> authorization =
        Optional.ofNullable(request.headers().get(HttpHeaderNames.AUTHORIZATION));
    String address = context.remoteAddress().getAddress().getHostAddress();
    return HttpResponse.of(
        CompletableFuture.supplyAsync(
                () -> authority.login(authorization, address), context.blockingTaskExecutor())
            .thenApply(login -> serve(context, request, login)));
  }

  private HttpResponse serve(
      ServiceRequestContext context, HttpRequest request, TokenAuthority.Login login) {
    return switch (login) {
      case TokenAuthority.Login.Passed passed -> serve(context, request, passed.principal());
      case TokenAuthority.Login.Failed failed ->
          Responses.refused(
              HttpStatus.UNAUTHORIZED, "authorization", "the token is missing or wrong");
      case TokenAuthority.Login.Blocked blocked ->
          Responses.refused(
              HttpStatus.TOO_MANY_REQUESTS,
              "authorization",
              "too many failed logins from this address, try again in a minute");
    };
  }

  private HttpResponse serve(
      ServiceRequestContext context, HttpRequest request, Principal principal) {
    boolean reads = request.method() == HttpMethod.GET || request.method() == HttpMethod.HEAD;
    if (!reads && principal.role() != OperatorRole.OPERATOR) {
      return Responses.refused(
          HttpStatus.FORBIDDEN,
          "authorization",
          "token " + principal.name() + " has the role viewer, the role operator is needed");
    }
    if (!reads) {
      recorder.record(
          "operator-request", principal.name(), request.method() + " " + context.path());
    }
    context.setAttr(PRINCIPAL, principal);
    try {
      return unwrap().serve(context, request);
    } catch (Exception e) {
      return HttpResponse.ofFailure(e);
    }
  }
}
