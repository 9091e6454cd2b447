package org.vanillacove.transport.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.coordination.timer.ScheduledTimerService;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.protocol.platform.TaskReport;
import org.vanillacove.protocol.platform.WorkerCommand;
import org.vanillacove.protocol.platform.WorkerReply;
import org.vanillacove.standin.memory.MemoryLog;
import org.vanillacove.standin.memory.WorkerModel;
import org.vanillacove.standin.server.FaultSwitch;
import org.vanillacove.standin.server.PlatformServer;
import org.vanillacove.standin.server.WorkerServer;
import org.vanillacove.state.api.AvailabilityZone;
import org.vanillacove.state.api.LossPolicy;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.TaskId;
import org.vanillacove.state.api.TaskOutcome;
import org.vanillacove.state.api.WorkerSpec;

/** Tests {@link HttpWorkerGateway} and {@link HttpHostList} against the stand-in servers. */
class HttpWorkerGatewayTest {
  private static final Duration DEADLINE = Duration.ofSeconds(2);
  private static final AvailabilityZone ZONE = new AvailabilityZone("attica", "attica-1");
  private static final TaskId TASK = new TaskId("job", 3);
  private static final Resources SIZE = new Resources(1_000, 2_048, 1);

  private final ScheduledTimerService timer = new ScheduledTimerService();
  private PlatformServer server;
  private WorkerServer worker;
  private PlatformClient client;
  private HttpWorkerGateway gateway;

  @BeforeEach
  void start() {
    server = new PlatformServer(0, new MemoryLog());
    worker =
        new WorkerServer(
            0, address -> new WorkerModel(spec(address), timer, start -> Optional.empty()));
    server.setWorkers(List.of(worker.model().spec()));
    client = new PlatformClient(server.address(), DEADLINE, timer);
    gateway = new HttpWorkerGateway(client, DEADLINE);
  }

  @AfterEach
  void stop() {
    gateway.close();
    client.close();
    worker.close();
    server.close();
    timer.close();
  }

  @Test
  void listsWorkersAndHosts() {
    ListedHost host = new ListedHost("host-1", ListedHost.Role.ENTRY, "127.0.0.1:4000", ZONE, true);
    server.setHosts(List.of(host));
    assertThat(gateway.listWorkers().join()).contains(List.of(worker.model().spec()));
    assertThat(new HttpHostList(client).fetch().join()).contains(List.of(host));
  }

  @Test
  void listsAreEmptyWhilePlatformFails() {
    server.hostFaults().setMode(FaultSwitch.Mode.SILENT);
    server.workerFaults().setMode(FaultSwitch.Mode.FAILING);
    assertThat(gateway.listWorkers().join()).isEmpty();
    assertThat(new HttpHostList(client).fetch().join()).isEmpty();
  }

  @Test
  void everyCommandReachesTheWorker() {
    assertThat(send(new WorkerCommand.Fence(4))).isEqualTo(new WorkerReply.Done(4, List.of()));
    TaskReport running = new TaskReport(TASK, 2, Optional.empty(), SIZE);
    assertThat(send(startTask(4))).isEqualTo(new WorkerReply.Done(4, List.of(running)));
    assertThat(send(new WorkerCommand.Throttle(5, TASK, 2, 500)))
        .isEqualTo(new WorkerReply.Done(5, List.of(running)));
    assertThat(send(new WorkerCommand.Renew(5, 10_000, true)))
        .isEqualTo(new WorkerReply.Done(5, List.of(running)));
    assertThat(send(startTask(4))).isEqualTo(new WorkerReply.Stale(5));
    TaskReport ended = new TaskReport(TASK, 2, Optional.of(TaskOutcome.CANCELLED), SIZE);
    assertThat(send(new WorkerCommand.Stop(5, TASK, 2, true)))
        .isEqualTo(new WorkerReply.Done(5, List.of(ended)));
    assertThat(send(new WorkerCommand.Throttle(5, TASK, 2, 1)))
        .isEqualTo(new WorkerReply.Refused("task does not run"));
  }

  /** A fault must never be reported as refused if the task may have started. */
  @ParameterizedTest
  @CsvSource({
    "REFUSING, Refused, 0",
    "FAILING, Unknown, 0",
    "SILENT, Unknown, 0",
    "CLOSING, Unknown, 0",
    "LOSING_ANSWERS, Unknown, 1"
  })
  void commandFaultIsReportedWithCorrectReply(FaultSwitch.Mode mode, String reply, int starts) {
    worker.faults().setMode(mode);
    assertThat(send(startTask(1)).getClass().getSimpleName()).isEqualTo(reply);
    assertThat(worker.model().startCount(TASK)).isEqualTo(starts);
    worker.faults().setMode(FaultSwitch.Mode.NONE);
    assertThat(send(startTask(1))).isInstanceOf(WorkerReply.Done.class);
    assertThat(worker.model().startCount(TASK)).isEqualTo(1);
  }

  @Test
  void commandToStoppedWorkerIsRefused() {
    worker.close();
    await().until(() -> send(startTask(1)) instanceof WorkerReply.Refused);
  }

  private WorkerReply send(WorkerCommand command) {
    return gateway.send(worker.model().spec(), command).join();
  }

  private static WorkerCommand startTask(long epoch) {
    return new WorkerCommand.Start(epoch, TASK, 2, SIZE, LossPolicy.KEEP, 10_000, "serve");
  }

  private static WorkerSpec spec(String address) {
    return new WorkerSpec(
        "worker-1",
        address,
        ZONE,
        "rack-1",
        new Resources(64_000, 262_144, 8),
        Optional.of("gpu-a"),
        Map.of("disk", "none"));
  }
}
