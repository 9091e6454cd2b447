package org.vanillacove.coordination.cell;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.api.ProposalOutcome;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.RerunPolicy;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerStatus;
import org.vanillacove.state.api.WorkloadKind;

/**
 * Approval tests of a whole cell: the events of all hosts and the state that operators then see.
 */
class CellSessionTest {
  private final TestCell cell = new TestCell(3, 6);

  @Test
  void workloadsThroughLeaderFailure() {
    cell.plannedEnds.put("run", new WorkerModel.PlannedEnd(20_000, TaskOutcome.SUCCEEDED));
    cell.awaitReady();
    step("service, batch and gang are submitted");
    submit("service", WorkloadKind.SERVICE, 2, RerunPolicy.RERUN, LossPolicy.KEEP);
    submit("batch", WorkloadKind.BATCH, 2, RerunPolicy.AT_MOST_ONCE, LossPolicy.MOVE);
    submit("gang", WorkloadKind.GANG, 3, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.advanceSeconds(2);
    step("the leader fails");
    cell.kill(cell.leader().orElseThrow().self().id());
    cell.advanceSeconds(10);
    step("a job is submitted to the new leader, another is cancelled");
    submit("late", WorkloadKind.BATCH, 1, RerunPolicy.RERUN, LossPolicy.MOVE);
    recordOutcome(cell.node().cancelJob("gang", "no longer needed", TestCell.DEADLINE));
    cell.advanceSeconds(40);
    step("a worker is drained");
    recordOutcome(
        cell.node().changeWorker("w0", WorkerStatus.DRAINING, "new kernel", TestCell.DEADLINE));
    cell.advanceSeconds(5);

    Approvals.verify(transcript());
  }

  @Test
  void logOutageAndConflictingConfigurations() {
    cell.awaitReady();
    step("two operators change the configuration from the same version");
    putConfiguration("{\"first\":1}", "anna");
    putConfiguration("{\"second\":2}", "bruno");
    step("the log becomes unavailable");
    cell.log.setFault(MemoryLog.Fault.REFUSING);
    submit("refused", WorkloadKind.BATCH, 1, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.advanceSeconds(5);
    step("the log loses a response");
    cell.log.setFault(MemoryLog.Fault.NONE);
    cell.log.loseResponses(1);
    submit("answer-lost", WorkloadKind.BATCH, 1, RerunPolicy.RERUN, LossPolicy.MOVE);
    cell.advanceSeconds(5);

    Approvals.verify(transcript());
  }

  private void submit(String id, WorkloadKind kind, int tasks, RerunPolicy rerun, LossPolicy loss) {
    JobSpec spec = TestCell.job(kind, tasks, rerun, loss);
    recordOutcome(cell.node().submitJob(id, spec, TestCell.DEADLINE));
  }

  private void putConfiguration(String document, String author) {
    recordOutcome(cell.node().putConfiguration(0, document, author, "trial", TestCell.DEADLINE));
  }

  private void recordOutcome(CompletableFuture<ProposalOutcome> outcome) {
    cell.advanceSeconds(4);
    cell.events.add("        -> " + outcome.getNow(new ProposalOutcome.Unknown("", "no response")));
  }

  private void step(String text) {
    cell.events.add("== " + text);
  }

  private String transcript() {
    List<String> jobs = cell.node().jobs().stream().map(CellSessionTest::describe).toList();
    return String.join("\n", cell.events)
        + "\n== jobs\n"
        + String.join("\n", jobs)
        + "\n== configuration\n"
        + cell.node().configurationHistory()
        + "\n";
  }

  private static String describe(CellView.JobView job) {
    return job.tasks().stream()
        .map(
            task ->
                "%s/%d attempt %d %s %s"
                    .formatted(
                        job.jobId(),
                        task.index(),
                        task.attempt(),
                        task.workerId().map(worker -> "on " + worker).orElse("not running"),
                        outcomeOf(task.outcome())))
        .collect(Collectors.joining("\n"));
  }

  private static String outcomeOf(Optional<TaskOutcome> outcome) {
    return outcome.map(TaskOutcome::toString).orElse("");
  }
}
