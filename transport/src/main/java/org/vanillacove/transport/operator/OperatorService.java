package org.vanillacove.transport.operator;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.ServerBuilder;
import java.util.List;

/** The operator API of a host, which a daemon adds to the server of its operator port. */
public final class OperatorService {
  /** Maximum size of a request body, in bytes. */
  private static final long MAX_REQUEST_BYTES = 1 << 20;

  /** Timeout of a request, in milliseconds; above the maximum wait for the log. */
  private static final long REQUEST_TIMEOUT_MILLIS = 60_000;

  /** Path prefix of all resources except metrics and health checks. */
  private static final String PREFIX = "/api/v1";

  /** Services of the host that the resources use. */
  private final OperatorDependencies dependencies;

  /** Creates the operator API of a host. */
  public OperatorService(OperatorDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /** Adds all resources, metrics and health checks to the server of the operator port. */
  public void addTo(ServerBuilder server) {
    List<Object> resources =
        List.of(
            new JobResource(
                dependencies.view(), dependencies.control(), dependencies.configuration()),
            new CellResource(dependencies),
            new ConfigurationResource(dependencies.configuration()),
            new ExceptionResource(dependencies.configuration()),
            new TimelineResource(dependencies.timeline(), dependencies.view()));
    for (Object resource : resources) {
      server
          .annotatedService()
          .pathPrefix(PREFIX)
          .useBlockingTaskExecutor(true)
          .maxRequestLength(MAX_REQUEST_BYTES)
          .requestTimeoutMillis(REQUEST_TIMEOUT_MILLIS)
          .exceptionHandlers(new OperatorExceptionHandler())
          .decorator(
              delegate ->
                  new AccessDecorator(delegate, dependencies.authority(), dependencies.recorder()))
          .build(resource);
    }
    server
        .route()
        .get("/metrics")
        .decorator(
            delegate ->
                new AccessDecorator(delegate, dependencies.authority(), dependencies.recorder()))
        .build((context, request) -> metrics());
    server.route().get("/healthz").build((context, request) -> HttpResponse.of("ok\n"));
    server.route().get("/readyz").build((context, request) -> readiness());
  }

  private HttpResponse metrics() {
    return HttpResponse.of(
        HttpStatus.OK,
        MediaType.parse("text/plain; version=0.0.4; charset=utf-8"),
        HttpData.ofUtf8(dependencies.meters().scrape()));
  }

  private HttpResponse readiness() {
    return dependencies.ready().getAsBoolean()
        ? HttpResponse.of("ready\n")
        : HttpResponse.of(
            HttpStatus.SERVICE_UNAVAILABLE, MediaType.PLAIN_TEXT_UTF_8, "not ready\n");
  }
}
