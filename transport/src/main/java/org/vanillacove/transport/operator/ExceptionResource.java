package org.vanillacove.transport.operator;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.ServiceRequestContext;
import com.linecorp.armeria.server.annotation.Delete;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.coordination.configuration.ConfigurationService;
import org.vanillacove.protocol.configuration.ExceptionAudit;
import org.vanillacove.protocol.document.DocumentReader;
import org.vanillacove.transport.operator.message.ExceptionMessage;

/** HTTP resources for exceptions from the fleet defaults of the configuration. */
final class ExceptionResource {
  /** Reads and changes the configuration, which contains the exceptions. */
  private final ConfigurationService service;

  /** Validates the bodies of requests that add an exception. */
  private final DocumentReader additions =
      new DocumentReader(ExceptionResource.class, "exception.schema.json");

  ExceptionResource(ConfigurationService service) {
    this.service = service;
  }

  @Get("/exceptions")
  public HttpResponse list() {
    return Responses.ok(service.exceptions().stream().map(ExceptionResource::message).toList());
  }

  @Post("/exceptions")
  public CompletableFuture<HttpResponse> add(
      ServiceRequestContext context,
      @Param("deadlineMillis") Optional<String> deadline,
      AggregatedHttpRequest request) {
    Duration wait = JobResource.deadline(deadline);
    return ConfigurationResource.change(
        context,
        additions.read(RequestBody.text(request)),
        body ->
            service
                .addException(
                    body.path("basedOn").asLong(),
                    body.path("exception"),
                    AccessDecorator.principal(context).name(),
                    wait)
                .thenApply(Responses::of));
  }

  @Delete("/exceptions/{name}")
  public CompletableFuture<HttpResponse> remove(
      ServiceRequestContext context,
      @Param("name") String name,
      @Param("basedOn") Optional<String> basedOn,
      @Param("deadlineMillis") Optional<String> deadline) {
    Duration wait = JobResource.deadline(deadline);
    long version =
        Responses.parseNonNegative(basedOn, "basedOn", service.inForce().current().version());
    Optional<HttpResponse> scoped = CellResource.refuseTeamToken(context);
    if (scoped.isPresent()) {
      return CompletableFuture.completedFuture(scoped.get());
    }
    return service
        .removeException(version, name, AccessDecorator.principal(context).name(), wait)
        .thenApply(Responses::of);
  }

  private static ExceptionMessage message(ExceptionAudit.Finding finding) {
    return new ExceptionMessage(
        finding.rule().name(),
        finding.rule().scope().toString(),
        finding.rule().field().path(),
        finding.rule().value().toString(),
        finding.defaultValue(),
        finding.rule().reason(),
        finding.rule().owner(),
        finding.rule().expires().map(Instant::toString),
        finding.effect());
  }
}
