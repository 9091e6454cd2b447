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

/**
 * Changes the configuration and reports its history and the versions in force on the hosts;
 * thread-safe.
 */
public final class ConfigurationService {
  /** Pause between two polls of the hosts for the version in force on them. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  /** Cell state, with the records of the log applied. */
  private final CellView view;

  /** Proposes changes to the leader. */
  private final CellControl control;

  /** Queries the other hosts for the version in force on them. */
  private final OperatorChannel channel;

  /** Identifier of this host, whose version is read without a query. */
  private final String hostId;

  /** Clocks and periodic timers. */
  private final TimerService timer;

  /** Parses and checks documents. */
  private final ConfigurationLoader loader = new ConfigurationLoader();

  /** Configuration in force on this host. */
  private final ConfigurationInForce inForce;

  /** Creates the service; from now on this host answers queries for the version in force. */
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
    channel.setVersionSupplier(() -> inForce.current().version());
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
        List<FieldFault> faults = checkAgainstCell(accepted.value());
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
        .orElseGet(() -> refused(versionNotKept(basedOn)));
  }

  /** Removes an exception from the document of version {@code basedOn}. */
  public CompletableFuture<ConfigurationOutcome> removeException(
      long basedOn, String name, String author, Duration deadline) {
    Optional<String> base = document(basedOn);
    if (base.isEmpty()) {
      return refused(versionNotKept(basedOn));
    }
    return ConfigurationText.withoutException(base.get(), name)
        .map(edited -> put(basedOn, edited, author, "exception " + name + " removed", deadline))
        .orElseGet(
            () -> refused(List.of(new FieldFault("$.name", "there is no exception " + name))));
  }

  /** Returns the exceptions in the document in force and whether each has an effect. */
  public List<ExceptionAudit.Finding> exceptions() {
    return ExceptionAudit.findings(inForce.current().document(), inForce.now());
  }

  /**
   * Returns the stored versions, oldest first. At most two documents are held in memory at a time.
   */
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

  /**
   * Returns the document of a version, empty if it is no longer stored; version zero is the empty
   * document.
   */
  public Optional<String> document(long version) {
    if (version == 0) {
      return Optional.of(ConfigurationText.EMPTY);
    }
    return view.configuration(version).map(ConfigurationVersion::document);
  }

  /** Returns the differences between two versions, empty if one of them is no longer stored. */
  public Optional<List<Change>> diff(long before, long after) {
    return document(before)
        .flatMap(first -> document(after).map(second -> ConfigurationText.diff(first, second)));
  }

  /**
   * Polls the hosts until {@code version} is in force on each of them or {@code deadline} has
   * passed.
   */
  public CompletableFuture<InForceReport> awaitInForce(long version, Duration deadline) {
    CompletableFuture<InForceReport> result = new CompletableFuture<>();
    long start = timer.monotonicMillis();
    pollUntilInForce(version, start, start + deadline.toMillis(), result);
    return result;
  }

  /** Returns the version that is in force on each host now. */
  public CompletableFuture<InForceReport> versionsInForce() {
    return queryVersions(inForce.current().version(), timer.monotonicMillis());
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

  private List<FieldFault> checkAgainstCell(ConfigurationDocument candidate) {
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

  private void pollUntilInForce(
      long version, long start, long end, CompletableFuture<InForceReport> result) {
    queryVersions(version, start)
        .thenAccept(
            report -> {
              if (report.isComplete() || timer.monotonicMillis() >= end) {
                result.complete(report);
              } else {
                timer.after(POLL_INTERVAL, () -> pollUntilInForce(version, start, end, result));
              }
            });
  }

  private CompletableFuture<InForceReport> queryVersions(long version, long start) {
    OperatorQuery query =
        OperatorQuery.newBuilder().setVersion(VersionQuery.getDefaultInstance()).build();
    return channel.queryAll(query).thenApply(answers -> toReport(version, start, answers));
  }

  private InForceReport toReport(
      long version, long start, List<OperatorChannel.HostReply> answers) {
    Map<String, Long> versions = new TreeMap<>();
    versions.put(hostId, inForce.current().version());
    List<String> unresponsive = new ArrayList<>();
    Set<String> agreed = new HashSet<>();
    view.status().hosts().stream().map(HostSpec::id).forEach(agreed::add);
    for (OperatorChannel.HostReply answer : answers) {
      answer
          .parse(VersionReply.parser())
          .ifPresentOrElse(
              reply -> versions.put(answer.hostId(), reply.getVersion()),
              () -> {
                if (agreed.isEmpty() || agreed.contains(answer.hostId())) {
                  unresponsive.add(answer.hostId());
                }
              });
    }
    return new InForceReport(version, versions, unresponsive, timer.monotonicMillis() - start);
  }

  private static List<FieldFault> versionNotKept(long version) {
    return List.of(new FieldFault("$.basedOn", "version " + version + " is not kept"));
  }

  private static CompletableFuture<ConfigurationOutcome> refused(List<FieldFault> faults) {
    return CompletableFuture.completedFuture(new ConfigurationOutcome.Refused(faults));
  }
}
