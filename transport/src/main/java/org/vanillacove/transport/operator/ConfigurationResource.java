package org.vanillacove.transport.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.ServiceRequestContext;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import com.linecorp.armeria.server.annotation.Put;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.coordination.configuration.ConfigurationService;
import org.vanillacove.coordination.configuration.InForceReport;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.document.DocumentReader;
import org.vanillacove.transport.operator.message.ConfigurationMessage;
import org.vanillacove.transport.operator.message.DiffMessage;
import org.vanillacove.transport.operator.message.HistoryMessage;
import org.vanillacove.transport.operator.message.HistoryMessage.VersionMessage;
import org.vanillacove.transport.operator.message.InForceMessage;

/** HTTP resources for the configuration and its versions. */
final class ConfigurationResource {
  /** Reads and changes the configuration of the cell. */
  private final ConfigurationService service;

  /** Validates the bodies of configuration changes. */
  private final DocumentReader changes =
      new DocumentReader(ConfigurationResource.class, "change.schema.json");

  /** Validates the bodies of rollbacks. */
  private final DocumentReader rollbacks =
      new DocumentReader(ConfigurationResource.class, "rollback.schema.json");

  ConfigurationResource(ConfigurationService service) {
    this.service = service;
  }

  @Get("/configuration")
  public HttpResponse show(@Param("version") Optional<String> version) {
    long wanted =
        Responses.parseNonNegative(version, "version", service.inForce().current().version());
    return service
        .document(wanted)
        .map(text -> Responses.ok(new ConfigurationMessage(wanted, Responses.parseJson(text))))
        .orElseGet(() -> Responses.notFound("version", Long.toString(wanted)));
  }

  @Put("/configuration")
  public CompletableFuture<HttpResponse> put(
      ServiceRequestContext context,
      @Param("deadlineMillis") Optional<String> deadline,
      AggregatedHttpRequest request) {
    Duration wait = JobResource.deadline(deadline);
    return change(
        context,
        changes.read(RequestBody.text(request)),
        body ->
            service
                .put(
                    body.path("basedOn").asLong(),
                    body.path("document").toString(),
                    AccessDecorator.principal(context).name(),
                    body.path("reason").asText(),
                    wait)
                .thenApply(Responses::of));
  }

  @Post("/configuration/rollback")
  public CompletableFuture<HttpResponse> rollback(
      ServiceRequestContext context,
      @Param("deadlineMillis") Optional<String> deadline,
      AggregatedHttpRequest request) {
    Duration wait = JobResource.deadline(deadline);
    return change(
        context,
        rollbacks.read(RequestBody.text(request)),
        body ->
            service
                .rollback(
                    body.path("version").asLong(),
                    body.path("basedOn").asLong(),
                    AccessDecorator.principal(context).name(),
                    body.path("reason").asText(),
                    wait)
                .thenApply(Responses::of));
  }

  @Get("/configuration/history")
  public HttpResponse history() {
    List<VersionMessage> versions =
        service.history().stream()
            .map(
                kept ->
                    new VersionMessage(
                        kept.version(), kept.author(), kept.reason(), kept.changes()))
            .toList();
    return Responses.ok(new HistoryMessage(versions));
  }

  @Get("/configuration/diff")
  public HttpResponse diff(@Param("before") String before, @Param("after") String after) {
    long first = Responses.parseNonNegative(Optional.of(before), "before", 0);
    long second = Responses.parseNonNegative(Optional.of(after), "after", 0);
    return service
        .diff(first, second)
        .map(changed -> Responses.ok(new DiffMessage(changed)))
        .orElseGet(
            () ->
                Responses.notFound(
                    "version", Long.toString(service.document(first).isEmpty() ? first : second)));
  }

  @Get("/configuration/in-force")
  public CompletableFuture<HttpResponse> inForce(
      @Param("version") Optional<String> version,
      @Param("deadlineMillis") Optional<String> deadline) {
    long wanted =
        Responses.parseNonNegative(version, "version", service.inForce().current().version());
    return service
        .awaitInForce(wanted, JobResource.deadline(deadline))
        .thenApply(report -> Responses.ok(message(report)));
  }

  static CompletableFuture<HttpResponse> change(
      ServiceRequestContext context, DocumentOutcome<JsonNode> body, Change change) {
    Optional<HttpResponse> scoped = CellResource.refuseTeamToken(context);
    if (scoped.isPresent()) {
      return CompletableFuture.completedFuture(scoped.get());
    }
    return switch (body) {
      case DocumentOutcome.Rejected<JsonNode> rejected ->
          CompletableFuture.completedFuture(Responses.badRequest(rejected.faults()));
      case DocumentOutcome.Accepted<JsonNode> accepted -> change.apply(accepted.value());
    };
  }

  private static InForceMessage message(InForceReport report) {
    return new InForceMessage(
        report.version(),
        report.isComplete(),
        report.versions(),
        report.lagging(),
        report.silent(),
        report.elapsedMillis());
  }

  /** A configuration change that is described by a validated request body. */
  @FunctionalInterface
  interface Change {
    /** Applies the change and returns the response. */
    CompletableFuture<HttpResponse> apply(JsonNode body);
  }
}
