package org.vanillacove.coordination.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.vanillacove.coordination.api.CellControl;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.api.CellView.ConfigurationVersion;
import org.vanillacove.coordination.api.ProposalOutcome;
import org.vanillacove.coordination.operator.OperatorChannel;
import org.vanillacove.protocol.configuration.CapacityCheck;
import org.vanillacove.protocol.configuration.ConfigurationDocument;
import org.vanillacove.protocol.configuration.ConfigurationLoader;
import org.vanillacove.protocol.configuration.ConfigurationText;
import org.vanillacove.protocol.configuration.ConfigurationText.Change;
import org.vanillacove.protocol.configuration.EffectiveConfiguration;
import org.vanillacove.protocol.configuration.ExceptionAudit;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.document.FieldFault;
import org.vanillacove.protocol.generated.OperatorQuery;
import org.vanillacove.protocol.generated.VersionQuery;
import org.vanillacove.protocol.generated.VersionReply;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.Resources;

/** Changes of the configuration and what is known of them; thread-safe. */
public final class ConfigurationService {
  /** Pause between two rounds of asking the hosts for their versions. */
  private static final Duration ROUND_PAUSE = Duration.ofMillis(50);

  /** The folded state. */
  private final CellView view;

  /** Changes of the cell. */
  private final CellControl control;

  /** Questions to the other hosts. */
  private final OperatorChannel channel;

  /** Identifier of this host. */
  private final String hostId;

  /** Source of time. */
  private final TimerService timer;

  /** Checks documents. */
  private final ConfigurationLoader loader = new ConfigurationLoader();

  /** The configuration in force on this host. */
  private final ConfigurationInForce inForce;

  /** Creates the service and answers the questions of other hosts for the version in force. */
  public ConfigurationService(
      CellView view,
      CellControl control,
      OperatorChannel channel,
      String hostId,
      TimerService timer) {
    this.view = view;
    this.control = control;
    this.channel = channel;
    this.hostId = hostId;
    this.timer = timer;
    this.inForce = new ConfigurationInForce(view, timer, loader);
    channel.answerVersion(() -> inForce.current().version());
  }

  /** Returns the configuration in force on this host. */
  public ConfigurationInForce inForce() {
    return inForce;
  }

  /** Puts a whole document in force if {@code basedOn} is the version in force. */
  public CompletableFuture<ConfigurationOutcome> put(
      long basedOn, String document, String author, String reason, Duration deadline) {
    return switch (loader.load(document)) {
      case DocumentOutcome.Rejected<ConfigurationDocument> rejected -> refused(rejected.faults());
      case DocumentOutcome.Accepted<ConfigurationDocument> accepted -> {
        List<FieldFault> faults = cellFaults(accepted.value());
        yield faults.isEmpty()
            ? propose(basedOn, document, author, reason, deadline)
            : refused(faults);
      }
    };
  }

  /** Puts the document of an older version in force as a new version. */
  public CompletableFuture<ConfigurationOutcome> rollback(
      long version, long basedOn, String author, String reason, Duration deadline) {
    Optional<String> document = document(version);
    return document.isEmpty()
        ? refused(List.of(new FieldFault("$.version", "version " + version + " is not kept")))
        : put(basedOn, document.get(), author, reason, deadline);
  }

  /** Adds an exception to the document of version {@code basedOn}. */
  public CompletableFuture<ConfigurationOutcome> addException(
      long basedOn, JsonNode exception, String author, Duration deadline) {
    String reason = "exception " + exception.path("name").asText() + " added";
    return document(basedOn)
        .map(base -> ConfigurationText.withException(base, exception))
        .map(edited -> put(basedOn, edited, author, reason, deadline))
        .orElseGet(() -> refused(notKept(basedOn)));
  }

  /** Removes an exception from the document of version {@code basedOn}. */
  public CompletableFuture<ConfigurationOutcome> removeException(
      long basedOn, String name, String author, Duration deadline) {
    Optional<String> base = document(basedOn);
    if (base.isEmpty()) {
      return refused(notKept(basedOn));
    }
    return ConfigurationText.withoutException(base.get(), name)
        .map(edited -> put(basedOn, edited, author, "exception " + name + " removed", deadline))
        .orElseGet(
            () -> refused(List.of(new FieldFault("$.name", "there is no exception " + name))));
  }

  /** Returns the exceptions in the document in force with whether they change anything. */
  public List<ExceptionAudit.Finding> exceptions() {
    return ExceptionAudit.findings(inForce.current().document(), inForce.now());
  }

  /** Returns the versions that are kept, oldest first; no two documents are held for longer. */
  public List<VersionSummary> history() {
    List<VersionSummary> history = new ArrayList<>();
    AtomicReference<ConfigurationVersion> newer = new AtomicReference<>();
    view.visitConfigurations(
        version -> {
          ConfigurationVersion last = newer.getAndSet(version);
          if (last != null) {
            history.add(VersionSummary.of(version.document(), last));
          }
        });
    if (newer.get() != null) {
      history.add(VersionSummary.of(ConfigurationText.EMPTY, newer.get()));
    }
    return history.reversed();
  }

  /** Returns the document of a version that is kept; version zero is the empty document. */
  public Optional<String> document(long version) {
    if (version == 0) {
      return Optional.of(ConfigurationText.EMPTY);
    }
    return view.configuration(version).map(ConfigurationVersion::document);
  }

  /** Returns the differences between two versions, empty if one of them is not kept. */
  public Optional<List<Change>> diff(long before, long after) {
    return document(before)
        .flatMap(first -> document(after).map(second -> ConfigurationText.diff(first, second)));
  }

  /** Waits until every live host has {@code version} in force or {@code deadline} has passed. */
  public CompletableFuture<InForceReport> awaitInForce(long version, Duration deadline) {
    CompletableFuture<InForceReport> result = new CompletableFuture<>();
    long start = timer.monotonicMillis();
    round(version, start, start + deadline.toMillis(), result);
    return result;
  }

  /** Returns which host has which version in force now. */
  public CompletableFuture<InForceReport> versionsInForce() {
    return ask(inForce.current().version(), timer.monotonicMillis());
  }

  private CompletableFuture<ConfigurationOutcome> propose(
      long basedOn, String document, String author, String reason, Duration deadline) {
    if (basedOn < view.configurationVersion()) {
      return CompletableFuture.completedFuture(
          conflict(basedOn, document, view.configurationVersion(), inForce.current().text()));
    }
    return control
        .putConfiguration(basedOn, document, author, reason, deadline)
        .thenApply(
            outcome ->
                switch (outcome) {
                  case ProposalOutcome.Accepted accepted ->
                      new ConfigurationOutcome.Accepted(accepted.offset());
                  case ProposalOutcome.Refused refusal ->
                      new ConfigurationOutcome.Refused(
                          List.of(new FieldFault(refusal.field(), refusal.reason())));
                  case ProposalOutcome.Conflict lost ->
                      conflict(basedOn, document, lost.inForce(), lost.document());
                  case ProposalOutcome.Unknown unknown ->
                      new ConfigurationOutcome.Unknown(unknown.proposalId(), unknown.reason());
                });
  }

  private ConfigurationOutcome conflict(
      long basedOn, String wanted, long version, String document) {
    Optional<String> base = document(basedOn);
    return new ConfigurationOutcome.Conflict(
        basedOn,
        version,
        document,
        ConfigurationText.diff(base.orElse(document), wanted),
        base.map(text -> ConfigurationText.diff(text, document)).orElse(List.of()));
  }

  private List<FieldFault> cellFaults(ConfigurationDocument candidate) {
    List<FieldFault> faults = new ArrayList<>();
    Resources capacity =
        view.workers().stream()
            .map(worker -> worker.spec().capacity())
            .reduce(Resources.NONE, Resources::plus);
    if (!capacity.equals(Resources.NONE)) {
      faults.addAll(
          CapacityCheck.faults(
              new EffectiveConfiguration(candidate, inForce.now()),
              inForce.effective(),
              candidate.defaults().quotaOvercommitPercent(),
              capacity));
    }
    Set<String> regions = new HashSet<>();
    view.status().hosts().forEach(host -> regions.add(host.zone().region()));
    view.workers().forEach(worker -> regions.add(worker.spec().zone().region()));
    for (int i = 0; i < candidate.exceptions().size(); i++) {
      Optional<String> region = candidate.exceptions().get(i).scope().region();
      if (region.isPresent() && !regions.isEmpty() && !regions.contains(region.get())) {
        faults.add(
            new FieldFault(
                "$.exceptions[" + i + "].scope.region", "unknown region " + region.get()));
      }
    }
    return faults;
  }

  private void round(long version, long start, long end, CompletableFuture<InForceReport> result) {
    ask(version, start)
        .thenAccept(
            report -> {
              if (report.isComplete() || timer.monotonicMillis() >= end) {
                result.complete(report);
              } else {
                timer.after(ROUND_PAUSE, () -> round(version, start, end, result));
              }
            });
  }

  private CompletableFuture<InForceReport> ask(long version, long start) {
    OperatorQuery query =
        OperatorQuery.newBuilder().setVersion(VersionQuery.getDefaultInstance()).build();
    return channel.askAll(query).thenApply(answers -> report(version, start, answers));
  }

  private InForceReport report(long version, long start, List<OperatorChannel.Answer> answers) {
    Map<String, Long> versions = new TreeMap<>();
    versions.put(hostId, inForce.current().version());
    List<String> silent = new ArrayList<>();
    Set<String> agreed = new HashSet<>();
    view.status().hosts().stream().map(HostSpec::id).forEach(agreed::add);
    for (OperatorChannel.Answer answer : answers) {
      answer
          .parse(VersionReply.parser())
          .ifPresentOrElse(
              reply -> versions.put(answer.hostId(), reply.getVersion()),
              () -> {
                if (agreed.isEmpty() || agreed.contains(answer.hostId())) {
                  silent.add(answer.hostId());
                }
              });
    }
    return new InForceReport(version, versions, silent, timer.monotonicMillis() - start);
  }

  private static List<FieldFault> notKept(long version) {
    return List.of(new FieldFault("$.basedOn", "version " + version + " is not kept"));
  }

  private static CompletableFuture<ConfigurationOutcome> refused(List<FieldFault> faults) {
    return CompletableFuture.completedFuture(new ConfigurationOutcome.Refused(faults));
  }
}
