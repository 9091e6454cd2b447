package review;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The workers of one rack crash and start again under their ids and addresses as a smaller kind,
 * while tasks wait for room. Each writes its new entry to the store before it opens its port.
 */
public final class RestartedAsOtherKind {
  private static final int WORKERS = 6;
  private static final long DOWN_MILLIS = 2_000;
  private static final String JOB = "/plans/5c0e7a21d94b36f8";

  private RestartedAsOtherKind() {}

  public static void main(String[] args) throws Exception {
    Deployment deployment = new Deployment("4", 3);
    RunLog log = new RunLog(deployment, true);
    deployment.configure(1, Deployment.route("plans", 1, 2.2, 60_000));
    List<WorkerStandin> workers =
        IntStream.range(0, WORKERS)
            .mapToObj(
                i ->
                    new WorkerStandin(
                        "i-worker-" + i, deployment.network + "10" + i, deployment.store, log, "a",
                        "r1-1", 64_000, 0))
            .toList();
    for (WorkerStandin worker : workers) {
      worker.start();
    }
    deployment.start();
    Thread.sleep(3_000);
    WorkerStandin.DEMAND_CPU.put("5c0e7a21d94b36f8.0", 18_000L);
    deployment.submit(
        JOB,
        "{\"spec\":\"work_ms=6200\",\"steps\":[{\"count\":36,\"cpu\":18000,\"mem_mb\":37000,"
            + "\"estimate_ms\":6200}]}");
    Thread.sleep(2_000);
    if (deployment.trouble) {
      for (WorkerStandin worker : workers) {
        deployment.note("%s crashes", worker.id);
        worker.crash();
        worker.setKind("b", 32_000);
      }
      Thread.sleep(DOWN_MILLIS);
      for (WorkerStandin worker : workers) {
        worker.start();
        deployment.note("%s starts again as kind b with 32,000 thousandths of a core", worker.id);
      }
    }
    Deployment.await(60_000, () -> log.doneTasks() == 36);
    Thread.sleep(1_500);
    deployment.note("%d starts, %d of 36 tasks done, %s", log.starts(), log.doneTasks(),
        deployment.state(JOB));
    deployment.finish(
        !log.overCapacity().isEmpty(),
        "LIMIT: %d starts over the capacity of a worker".formatted(log.overCapacity().size()));
  }
}
