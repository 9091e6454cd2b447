package org.vanillacove.transport.operator;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import com.linecorp.armeria.server.SimpleDecoratingHttpService;

/** Rejects plain-text requests to a TLS port, without reading them, and asks to use TLS. */
public final class TlsOnly extends SimpleDecoratingHttpService {
  private TlsOnly(HttpService delegate) {
    super(delegate);
  }

  /** Rejects plain-text requests to all services of a server. */
  public static void addTo(ServerBuilder server) {
    server.decorator(TlsOnly::new);
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) throws Exception {
    return context.sessionProtocol().isTls()
        ? unwrap().serve(context, request)
        : Responses.refused(
            HttpStatus.BAD_REQUEST,
            "protocol",
            "this port takes TLS only (--trusted FILE); replace a token that was sent without it");
  }
}
