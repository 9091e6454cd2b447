package org.vanillacove.transport.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServiceRequestContext;
import com.linecorp.armeria.server.annotation.Get;
import com.linecorp.armeria.server.annotation.Param;
import com.linecorp.armeria.server.annotation.Post;
import com.linecorp.armeria.server.annotation.Put;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.vanillacove.coordination.api.CellControl;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.api.CellView.JobView;
import org.vanillacove.coordination.configuration.ConfigurationService;
import org.vanillacove.protocol.configuration.JobPolicyCheck;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.document.DocumentReader;
import org.vanillacove.protocol.document.FieldFault;
import org.vanillacove.protocol.job.JobSpecLoader;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.transport.operator.access.Principal;
import org.vanillacove.transport.operator.message.JobMessage;

/** HTTP resources for listing, submitting and cancelling jobs. */
final class JobResource {
  /** Default time to wait until a change is persisted in the log, in milliseconds. */
  private static final long DEFAULT_DEADLINE_MILLIS = 10_000;

  /** Maximum time to wait until a change is persisted in the log, in milliseconds. */
  private static final long MAX_DEADLINE_MILLIS = 55_000;

  /** Valid job identifiers. */
  private static final Pattern JOB_ID = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

  /** State of the cell, built by applying the records of the log. */
  private final CellView view;

  /** Submits changes to the cell. */
  private final CellControl control;

  /** Provides the configuration in force, whose policies are checked on submission. */
  private final ConfigurationService configuration;

  /** Parses job specifications and fills in the defaults in force. */
  private final JobSpecLoader loader;

  /** Validates the bodies of cancellations. */
  private final DocumentReader cancellations =
      new DocumentReader(JobResource.class, "cancel.schema.json");

  JobResource(CellView view, CellControl control, ConfigurationService configuration) {
    this.view = view;
    this.control = control;
    this.configuration = configuration;
    this.loader =
        new JobSpecLoader(
            (team, kind) -> configuration.inForce().effective().jobDefaults(team, kind));
  }

  @Get("/jobs")
  public HttpResponse list(ServiceRequestContext context) {
    Principal principal = AccessDecorator.principal(context);
    List<JobMessage> jobs =
        view.jobs().stream()
            .filter(job -> principal.mayActFor(job.spec().team()))
            .map(job -> JobMessages.of(job, false))
            .toList();
    return Responses.ok(jobs);
  }

  @Get("/jobs/{id}")
  public HttpResponse show(ServiceRequestContext context, @Param("id") String id) {
    return visible(context, id)
        .map(job -> Responses.ok(JobMessages.of(job, true)))
        .orElseGet(() -> Responses.notFound("job", id));
  }

  @Put("/jobs/{id}")
  public CompletableFuture<HttpResponse> submit(
      ServiceRequestContext context,
      @Param("id") String id,
      @Param("deadlineMillis") Optional<String> deadline,
      AggregatedHttpRequest request) {
    if (!JOB_ID.matcher(id).matches()) {
      throw new InvalidParameterException("id", "must match " + JOB_ID + ": " + id);
    }
    Duration wait = deadline(deadline);
    return switch (loader.load(RequestBody.text(request))) {
      case DocumentOutcome.Rejected<JobSpec> rejected ->
          CompletableFuture.completedFuture(Responses.badRequest(rejected.faults()));
      case DocumentOutcome.Accepted<JobSpec> accepted ->
          admit(AccessDecorator.principal(context), id, accepted.value(), wait);
    };
  }

  @Post("/jobs/{id}/cancel")
  public CompletableFuture<HttpResponse> cancel(
      ServiceRequestContext context,
      @Param("id") String id,
      @Param("deadlineMillis") Optional<String> deadline,
      AggregatedHttpRequest request) {
    Duration wait = deadline(deadline);
    if (visible(context, id).isEmpty()) {
      return CompletableFuture.completedFuture(Responses.notFound("job", id));
    }
    return switch (cancellations.read(RequestBody.text(request))) {
      case DocumentOutcome.Rejected<JsonNode> rejected ->
          CompletableFuture.completedFuture(Responses.badRequest(rejected.faults()));
      case DocumentOutcome.Accepted<JsonNode> accepted ->
          control
              .cancelJob(id, accepted.value().path("reason").asText(), wait)
              .thenApply(outcome -> Responses.of(outcome, id));
    };
  }

  static Duration deadline(Optional<String> text) {
    long millis = Responses.parseNonNegative(text, "deadlineMillis", DEFAULT_DEADLINE_MILLIS);
    return Duration.ofMillis(Math.min(millis, MAX_DEADLINE_MILLIS));
  }

  private CompletableFuture<HttpResponse> admit(
      Principal principal, String id, JobSpec spec, Duration deadline) {
    if (!principal.mayActFor(spec.team())) {
      return CompletableFuture.completedFuture(
          Responses.refused(
              HttpStatus.FORBIDDEN,
              "$.team",
              "token " + principal.name() + " may not act for team " + spec.team()));
    }
    List<FieldFault> faults = JobPolicyCheck.faults(spec, configuration.inForce().effective());
    if (!faults.isEmpty()) {
      return CompletableFuture.completedFuture(Responses.unprocessable(faults));
    }
    return control.submitJob(id, spec, deadline).thenApply(outcome -> Responses.of(outcome, id));
  }

  private Optional<JobView> visible(ServiceRequestContext context, String id) {
    Principal principal = AccessDecorator.principal(context);
    return view.job(id).filter(job -> principal.mayActFor(job.spec().team()));
  }
}
