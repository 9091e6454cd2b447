package org.vanillacove.state.cell;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;
import org.vanillacove.state.api.WorkerStatus;

/**
 * The state of the cell, determined by the records applied in order of their offsets alone; not
 * thread-safe.
 */
public final class CellState {
  /** Maximum number of settled jobs that are retained with their tasks. */
  public static final int MAX_SETTLED_JOBS = 2_048;

  /** Maximum number of dropped jobs whose identifiers are still rejected. */
  public static final int MAX_FORGOTTEN_JOBS = 16_384;

  /** Maximum number of writers whose newest proposal is retained. */
  public static final int MAX_WRITERS = 256;

  /** Maximum number of tasks of a job. */
  public static final int MAX_TASKS = 10_000;

  /** Jobs by identifier, in order of acceptance. */
  private final Map<String, JobState> jobs = new LinkedHashMap<>();

  /** Identifiers of settled jobs, next to be dropped first. */
  private final Set<String> settledOrder = new LinkedHashSet<>();

  /** Fingerprints of the identifiers of dropped jobs, oldest first. */
  private final Set<Long> forgottenJobs = new LinkedHashSet<>();

  /** Workers by identifier. */
  private final SortedMap<String, WorkerState> workers = new TreeMap<>();

  /** Member entry hosts by identifier. */
  private final SortedMap<String, HostSpec> hosts = new TreeMap<>();

  /** Retained configuration versions, the newest of which is in force. */
  private ConfigurationHistory configurations = new ConfigurationHistory();

  /** Position of the newest record of each writer, least recent first. */
  private final LinkedHashMap<String, WriterPosition> writers = new LinkedHashMap<>();

  /** Offset one past the newest applied record. */
  private long nextOffset;

  /** Leadership epoch, zero before the first claim. */
  private long epoch;

  /** Identifier of the leader of the epoch, empty before the first claim. */
  private String leader = "";

  /** Returns a state with the content of a snapshot. */
  public static CellState restore(CellSnapshot snapshot) {
    CellState state = new CellState();
    state.nextOffset = snapshot.nextOffset();
    state.epoch = snapshot.epoch();
    state.leader = snapshot.leader();
    for (CellSnapshot.Worker worker : snapshot.workers()) {
      state.workers.put(
          worker.spec().id(), new WorkerState(worker.spec(), worker.status(), worker.reason()));
    }
    snapshot.jobs().forEach(state::restoreJob);
    state.settledOrder.addAll(snapshot.settledOrder());
    state.forgottenJobs.addAll(snapshot.forgottenJobs());
    snapshot.hosts().forEach(host -> state.hosts.put(host.id(), host));
    state.configurations = ConfigurationHistory.restore(snapshot.configurations());
    state.writers.putAll(snapshot.writers());
    return state;
  }

  /** Returns the complete content, from which {@link #restore} makes an equal state. */
  public CellSnapshot snapshot() {
    List<CellSnapshot.Job> jobList = new ArrayList<>();
    for (JobState job : jobs.values()) {
      jobList.add(
          new CellSnapshot.Job(
              job.jobId(),
              job.spec(),
              job.acceptedAtMillis(),
              job.acceptedOffset(),
              job.isCancelled(),
              job.tasks()));
    }
    List<CellSnapshot.Worker> workerList =
        workers.values().stream()
            .map(worker -> new CellSnapshot.Worker(worker.spec(), worker.status(), worker.reason()))
            .toList();
    return new CellSnapshot(
        nextOffset,
        epoch,
        leader,
        jobList,
        List.copyOf(settledOrder),
        List.copyOf(forgottenJobs),
        workerList,
        List.copyOf(hosts.values()),
        configurations.deltas(),
        new LinkedHashMap<>(writers));
  }

  /** Applies the record at {@code offset}; offsets must rise. */
  public ApplyOutcome apply(long offset, RecordEnvelope envelope) {
    if (offset < nextOffset) {
      throw new IllegalArgumentException("offset " + offset + " was already applied");
    }
    nextOffset = offset + 1;
    Optional<ProposalId> proposal = ProposalId.parse(envelope.proposalId());
    if (proposal.isEmpty()) {
      return new ApplyOutcome.Invalid("proposalId", "not a proposal identifier");
    }
    if (!advanceWriter(proposal.get(), offset)) {
      return new ApplyOutcome.Duplicate();
    }
    CellRecord record = envelope.record();
    boolean claim = record instanceof CellRecord.LeaderClaimed;
    boolean needsLeader =
        record instanceof CellRecord.TaskStarted || record instanceof CellRecord.TaskEnded;
    if (!claim && envelope.epoch() != epoch && (needsLeader || envelope.epoch() != 0)) {
      return new ApplyOutcome.StaleEpoch(epoch);
    }
    return switch (record) {
      case CellRecord.LeaderClaimed claimed -> claim(envelope.epoch(), claimed);
      case CellRecord.JobAccepted accepted -> accept(offset, accepted);
      case CellRecord.JobCancelled cancelled -> cancel(cancelled);
      case CellRecord.TaskStarted started -> start(started);
      case CellRecord.TaskEnded ended -> end(ended);
      case CellRecord.WorkerJoined joined -> joinWorker(joined.worker());
      case CellRecord.WorkerChanged changed -> changeWorker(changed);
      case CellRecord.HostJoined joined -> joinHost(joined.host());
      case CellRecord.HostLeft left -> removeHost(left);
      case CellRecord.ConfigurationChanged changed -> changeConfiguration(offset, changed);
      case CellRecord.DomainDeclaredLost lost -> declareDomainLost(lost);
      case CellRecord.StateDigest digest -> applied();
      case CellRecord.SnapshotChunk chunk -> applied();
    };
  }

  /** Skips the record at {@code offset}, which this software version cannot decode. */
  public void skip(long offset) {
    nextOffset = offset + 1;
  }

  /** Returns the offset one past the newest applied record. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the leadership epoch, zero before the first claim. */
  public long epoch() {
    return epoch;
  }

  /** Returns the identifier of the leader of the epoch, empty before the first claim. */
  public Optional<String> leader() {
    return leader.isEmpty() ? Optional.empty() : Optional.of(leader);
  }

  /** Returns the jobs in order of acceptance. */
  public Collection<JobState> jobs() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /** Returns the job with the given identifier, empty if it is unknown or was dropped. */
  public Optional<JobState> job(String jobId) {
    return Optional.ofNullable(jobs.get(jobId));
  }

  /** Returns the state of a task, empty if its job is unknown or has no such task. */
  public Optional<TaskState> task(TaskId task) {
    return job(task.jobId())
        .filter(job -> task.index() >= 0 && task.index() < job.spec().taskCount())
        .map(job -> job.task(task.index()));
  }

  /** Returns the workers ordered by identifier. */
  public Collection<WorkerState> workers() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** Returns the worker with the given identifier, empty if it is unknown. */
  public Optional<WorkerState> worker(String workerId) {
    return Optional.ofNullable(workers.get(workerId));
  }

  /** Returns the member entry hosts ordered by identifier. */
  public List<HostSpec> hosts() {
    return List.copyOf(hosts.values());
  }

  /**
   * Returns the configuration in force, {@link ConfigurationEntry#NONE} before the first change.
   */
  public ConfigurationEntry configuration() {
    return configurations.newest();
  }

  /** Returns the given configuration version, empty if it is not retained. */
  public Optional<ConfigurationEntry> configuration(long version) {
    return configurations.find(version);
  }

  /** Returns the retained configuration versions with their documents, oldest first. */
  public List<ConfigurationEntry> configurations() {
    return configurations.entries();
  }

  /** Returns the retained configuration versions as stored, oldest first. */
  public List<ConfigurationDelta> configurationDeltas() {
    return configurations.deltas();
  }

  /** Returns the newest sequence number of a writer, zero if the writer is unknown. */
  public long sequenceOf(String writer) {
    WriterPosition position = writers.get(writer);
    return position == null ? 0 : position.sequence();
  }

  private void restoreJob(CellSnapshot.Job saved) {
    JobState job =
        new JobState(saved.jobId(), saved.spec(), saved.acceptedAtMillis(), saved.acceptedOffset());
    if (saved.cancelled()) {
      job.cancel();
    }
    for (int i = 0; i < saved.tasks().size(); i++) {
      TaskState task = saved.tasks().get(i);
      job.set(i, task);
      TaskId id = new TaskId(saved.jobId(), i);
      task.workerId()
          .ifPresent(workerId -> workers.get(workerId).add(id, saved.spec().resources()));
    }
    jobs.put(saved.jobId(), job);
  }

  private boolean advanceWriter(ProposalId proposal, long offset) {
    WriterPosition last = writers.get(proposal.writer());
    if (last != null && proposal.sequence() <= last.sequence()) {
      return false;
    }
    writers.remove(proposal.writer());
    writers.put(proposal.writer(), new WriterPosition(proposal.sequence(), offset));
    if (writers.size() > MAX_WRITERS) {
      writers.remove(writers.firstEntry().getKey());
    }
    return true;
  }

  private ApplyOutcome claim(long newEpoch, CellRecord.LeaderClaimed claimed) {
    if (newEpoch != epoch + 1) {
      return new ApplyOutcome.StaleEpoch(epoch);
    }
    epoch = newEpoch;
    leader = claimed.host();
    return applied();
  }

  private ApplyOutcome accept(long offset, CellRecord.JobAccepted accepted) {
    String jobId = accepted.jobId();
    JobSpec spec = accepted.spec();
    JobState present = jobs.get(jobId);
    if (present != null) {
      return present.spec().equals(spec)
          ? applied()
          : invalid("jobId", "identifier belongs to another job");
    }
    if (forgottenJobs.contains(fingerprint(jobId))) {
      return invalid("jobId", "identifier belongs to a job that ended long ago");
    }
    if (jobId.isEmpty() || jobId.indexOf('/') >= 0) {
      return invalid("jobId", "must not be empty nor contain a slash");
    }
    if (spec.taskCount() < 1 || spec.taskCount() > MAX_TASKS) {
      return invalid("taskCount", "must be between 1 and " + MAX_TASKS);
    }
    if (spec.resources().isNegative()) {
      return invalid("resources", "must not be negative");
    }
    jobs.put(jobId, new JobState(jobId, spec, accepted.acceptedAtMillis(), offset));
    return applied();
  }

  private ApplyOutcome cancel(CellRecord.JobCancelled cancelled) {
    JobState job = jobs.get(cancelled.jobId());
    if (job == null) {
      return invalid("jobId", "no such job");
    }
    job.cancel();
    retainIfSettled(job);
    return applied();
  }

  private ApplyOutcome start(CellRecord.TaskStarted started) {
    Optional<TaskState> found = task(started.task());
    if (found.isEmpty()) {
      return invalid("task", "no such task");
    }
    TaskState task = found.get();
    JobState job = jobs.get(started.task().jobId());
    if (job.isCancelled() || !task.isPending() || started.attempt() <= task.attempt()) {
      return invalid("task", "is not waiting for attempt " + started.attempt());
    }
    WorkerState worker = workers.get(started.workerId());
    if (worker == null || worker.status() == WorkerStatus.LOST) {
      return invalid("worker", "no such worker");
    }
    if (!worker.committed().plus(job.spec().resources()).fitsIn(worker.spec().capacity())) {
      return invalid("worker", "capacity exceeded");
    }
    worker.add(started.task(), job.spec().resources());
    job.set(
        started.task().index(),
        task.started(started.attempt(), started.workerId(), started.mode()));
    return applied();
  }

  private ApplyOutcome end(CellRecord.TaskEnded ended) {
    Optional<TaskState> found = task(ended.task());
    if (found.isEmpty() || !found.get().isRunning() || found.get().attempt() != ended.attempt()) {
      return invalid("task", "attempt " + ended.attempt() + " does not run");
    }
    endTask(ended.task(), found.get(), ended.outcome());
    return applied();
  }

  private void endTask(TaskId id, TaskState task, TaskOutcome outcome) {
    JobState job = jobs.get(id.jobId());
    workers.get(task.workerId().orElseThrow()).remove(id, job.spec().resources());
    boolean settled =
        job.isCancelled() || SettlementRule.isSettled(job.spec(), outcome, task.failures());
    job.set(id.index(), task.ended(outcome, settled));
    retainIfSettled(job);
  }

  private void retainIfSettled(JobState job) {
    if (!job.isSettled() || !settledOrder.add(job.jobId())) {
      return;
    }
    if (settledOrder.size() > MAX_SETTLED_JOBS) {
      String oldest = settledOrder.iterator().next();
      settledOrder.remove(oldest);
      jobs.remove(oldest);
      forgottenJobs.add(fingerprint(oldest));
    }
    if (forgottenJobs.size() > MAX_FORGOTTEN_JOBS) {
      forgottenJobs.remove(forgottenJobs.iterator().next());
    }
  }

  private ApplyOutcome joinWorker(WorkerSpec spec) {
    WorkerState present = workers.get(spec.id());
    if (present == null) {
      workers.put(spec.id(), new WorkerState(spec, WorkerStatus.ACTIVE, ""));
      return applied();
    }
    if (!present.committed().fitsIn(spec.capacity())) {
      return invalid("capacity", "is less than the resources committed to running tasks");
    }
    present.setSpec(spec);
    if (present.status() == WorkerStatus.LOST) {
      present.setStatus(WorkerStatus.ACTIVE, "");
    }
    return applied();
  }

  private ApplyOutcome changeWorker(CellRecord.WorkerChanged changed) {
    WorkerState worker = workers.get(changed.workerId());
    if (worker == null) {
      return invalid("workerId", "no such worker");
    }
    if (changed.status() == WorkerStatus.LOST) {
      endTasksOfLostWorker(worker);
    }
    worker.setStatus(changed.status(), changed.reason());
    return applied();
  }

  private void endTasksOfLostWorker(WorkerState worker) {
    for (TaskId id : List.copyOf(worker.running())) {
      boolean atMostOnce = jobs.get(id.jobId()).spec().rerun() == RerunPolicy.AT_MOST_ONCE;
      endTask(id, task(id).orElseThrow(), atMostOnce ? TaskOutcome.UNKNOWN : TaskOutcome.LOST);
    }
  }

  private ApplyOutcome joinHost(HostSpec host) {
    hosts.put(host.id(), host);
    return applied();
  }

  private ApplyOutcome removeHost(CellRecord.HostLeft left) {
    return hosts.remove(left.hostId()) == null ? invalid("hostId", "is not a member") : applied();
  }

  private ApplyOutcome changeConfiguration(long offset, CellRecord.ConfigurationChanged changed) {
    ConfigurationEntry inForce = configuration();
    if (changed.basedOn() != inForce.version()) {
      return new ApplyOutcome.Conflict(inForce);
    }
    if (offset == 0) {
      return invalid("basedOn", "no host has joined yet");
    }
    configurations.add(
        new ConfigurationEntry(offset, changed.document(), changed.author(), changed.reason()));
    return applied();
  }

  private ApplyOutcome declareDomainLost(CellRecord.DomainDeclaredLost lost) {
    for (WorkerState worker : workers.values()) {
      WorkerSpec spec = worker.spec();
      if (isInDomain(lost, spec.zone().region(), spec.zone().name())) {
        endTasksOfLostWorker(worker);
        worker.setStatus(WorkerStatus.LOST, lost.reason());
      }
    }
    hosts.values().removeIf(host -> isInDomain(lost, host.zone().region(), host.zone().name()));
    return applied();
  }

  private static boolean isInDomain(
      CellRecord.DomainDeclaredLost lost, String region, String zone) {
    return lost.region().equals(region)
        && (lost.zone().isEmpty() || lost.zone().get().equals(zone));
  }

  private static long fingerprint(String jobId) {
    return Hashing.farmHashFingerprint64().hashString(jobId, StandardCharsets.UTF_8).asLong();
  }

  private static ApplyOutcome invalid(String field, String reason) {
    return new ApplyOutcome.Invalid(field, reason);
  }

  private static ApplyOutcome applied() {
    return new ApplyOutcome.Applied();
  }
}
