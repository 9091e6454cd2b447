package org.vanillacove.transport.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServiceRequestContext;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.api.CellView.JobView;
import org.vanillacove.coordination.api.CellView.WorkerView;
import org.vanillacove.coordination.configuration.InForceReport;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.document.DocumentReader;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.transport.operator.access.Principal;
import org.vanillacove.transport.operator.message.StatusMessage;
import org.vanillacove.transport.operator.message.StatusMessage.HostMessage;
import org.vanillacove.transport.operator.message.WorkerMessage;

/** HTTP resources for workers, for the status of the cell and for declaring domains lost. */
final class CellResource {
  /** Factor that converts a ratio to percent. */
  private static final long PERCENT_FACTOR = 100;

  /** Services of the host that answers. */
  private final OperatorDependencies dependencies;

  /** Validates the bodies of worker status changes. */
  private final DocumentReader workerChanges =
      new DocumentReader(CellResource.class, "worker.schema.json");

  /** Validates the bodies of requests that declare a region or availability zone lost. */
  private final DocumentReader lossDeclarations =
      new DocumentReader(CellResource.class, "lost.schema.json");

  CellResource(OperatorDependencies dependencies) {
    this.dependencies = dependencies;
  }

  @Get("/workers")
  public HttpResponse workers() {
    return Responses.ok(dependencies.view().workers().stream().map(CellResource::worker).toList());
  }

  @Post("/workers/{id}/status")
  public CompletableFuture<HttpResponse> changeWorker(
      ServiceRequestContext context,
      @Param("id") String id,
      @Param("deadlineMillis") Optional<String> deadline,
      AggregatedHttpRequest request) {
    Optional<HttpResponse> scoped = refuseTeamToken(context);
    if (scoped.isPresent()) {
      return CompletableFuture.completedFuture(scoped.get());
    }
    if (dependencies.view().workers().stream().noneMatch(w -> w.spec().id().equals(id))) {
      return CompletableFuture.completedFuture(Responses.notFound("worker", id));
    }
    return switch (workerChanges.read(RequestBody.text(request))) {
      case DocumentOutcome.Rejected<JsonNode> rejected ->
          CompletableFuture.completedFuture(Responses.badRequest(rejected.faults()));
      case DocumentOutcome.Accepted<JsonNode> accepted ->
          dependencies
              .control()
              .changeWorker(
                  id,
                  WorkerStatus.valueOf(Ascii.toUpperCase(accepted.value().path("status").asText())),
                  accepted.value().path("reason").asText(),
                  JobResource.deadline(deadline))
              .thenApply(outcome -> Responses.of(outcome, id));
    };
  }

  @Post("/lost")
  public CompletableFuture<HttpResponse> declareLost(
      ServiceRequestContext context,
      @Param("deadlineMillis") Optional<String> deadline,
      AggregatedHttpRequest request) {
    Optional<HttpResponse> scoped = refuseTeamToken(context);
    if (scoped.isPresent()) {
      return CompletableFuture.completedFuture(scoped.get());
    }
    return switch (lossDeclarations.read(RequestBody.text(request))) {
      case DocumentOutcome.Rejected<JsonNode> rejected ->
          CompletableFuture.completedFuture(Responses.badRequest(rejected.faults()));
      case DocumentOutcome.Accepted<JsonNode> accepted -> {
        String region = accepted.value().path("region").asText();
        Optional<String> zone =
            Optional.ofNullable(accepted.value().get("zone")).map(JsonNode::asText);
        yield dependencies
            .control()
            .declareLost(
                region,
                zone,
                accepted.value().path("reason").asText(),
                JobResource.deadline(deadline))
            .thenApply(outcome -> Responses.of(outcome, zone.orElse(region)));
      }
    };
  }

  @Get("/status")
  public CompletableFuture<HttpResponse> status() {
    return dependencies
        .configuration()
        .versionsInForce()
        .thenApply(report -> Responses.ok(describe(report)));
  }

  static Optional<HttpResponse> refuseTeamToken(ServiceRequestContext context) {
    Principal principal = AccessDecorator.principal(context);
    return principal
        .team()
        .map(
            team ->
                Responses.refused(
                    HttpStatus.FORBIDDEN,
                    "authorization",
                    "token " + principal.name() + " is limited to team " + team));
  }

  private StatusMessage describe(InForceReport report) {
    CellView view = dependencies.view();
    CellView.CellStatus status = view.status();
    List<WorkerView> workers = view.workers();
    List<JobView> jobs = view.jobs();
    Resources capacity = sum(workers.stream().map(worker -> worker.spec().capacity()).toList());
    Resources committed = sum(workers.stream().map(WorkerView::committed).toList());
    int running = workers.stream().mapToInt(WorkerView::runningTasks).sum();
    long open =
        jobs.stream()
            .flatMap(job -> job.tasks().stream())
            .filter(task -> !task.settled() && !JobMessages.isRunning(task))
            .count();
    return new StatusMessage(
        dependencies.membership().self().id(),
        status.epoch(),
        status.leader(),
        status.foldedOffset(),
        status.logReachable(),
        dependencies.configuration().inForce().current().version(),
        status.hosts().stream().map(host -> host(host, report)).toList(),
        workers.size(),
        (int) workers.stream().filter(w -> w.status() == WorkerStatus.ACTIVE).count(),
        (int) jobs.stream().filter(job -> !JobMessages.of(job, false).state().isFinal()).count(),
        running,
        (int) open,
        percent(committed.cpuMillis(), capacity.cpuMillis()),
        percent(committed.memoryMib(), capacity.memoryMib()),
        percent(committed.accelerators(), capacity.accelerators()));
  }

  private HostMessage host(HostSpec host, InForceReport report) {
    boolean self = host.id().equals(dependencies.membership().self().id());
    return new HostMessage(
        host.id(),
        host.zone().region(),
        host.zone().name(),
        self || dependencies.membership().isReachable(host.id()),
        Optional.ofNullable(report.versions().get(host.id())));
  }

  private static WorkerMessage worker(WorkerView worker) {
    return new WorkerMessage(
        worker.spec().id(),
        worker.spec().zone().region(),
        worker.spec().zone().name(),
        worker.spec().rack(),
        worker.status(),
        worker.reason(),
        worker.spec().acceleratorKind(),
        worker.spec().capacity(),
        worker.committed(),
        worker.runningTasks());
  }

  private static Resources sum(List<Resources> parts) {
    return parts.stream().reduce(Resources.NONE, Resources::plus);
  }

  private static int percent(long part, long whole) {
    return whole == 0 ? 0 : (int) (part * PERCENT_FACTOR / whole);
  }
}
