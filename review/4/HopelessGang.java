package review;

/** A gang that no worker can hold waits, and a job of a lower priority is accepted after it. */
public final class HopelessGang {
  private static final String HOPELESS = "/plans/5c0e7a21d94b36f8";
  private static final String JOB = "/checks/77aa0e21d94b3601";

  /** Time for which a job may have nothing running: finish_s of the settings, and 3 s. */
  private static final long MAX_IDLE_MILLIS = 17_000;

  private HopelessGang() {}

  public static void main(String[] args) throws Exception {
    Deployment deployment = new Deployment(args[0], 3);
    RunLog log = new RunLog(deployment, true);
    deployment.configure(
        1,
        Deployment.route("plans", 1, 2.2, 1_200),
        Deployment.route("checks", 2, 4, 3_000));
    for (int i = 0; i < 4; i++) {
      new WorkerStandin(
              "i-worker-" + i, deployment.network + "10" + i, deployment.store, log, "a", "r1-1",
              64_000, 0)
          .start();
    }
    deployment.start();
    Thread.sleep(3_000);
    if (deployment.trouble) {
      deployment.submit(
          HOPELESS,
          "{\"spec\":\"work_ms=16000\",\"steps\":[{\"count\":8,\"cpu\":18000,\"mem_mb\":300000,"
              + "\"estimate_ms\":16000,\"gang\":true}]}");
    }
    Thread.sleep(1_000);
    WorkerStandin.DEMAND_CPU.put("77aa0e21d94b3601.0", 3_900L);
    deployment.submit(
        JOB,
        "{\"spec\":\"work_ms=3400\",\"steps\":[{\"count\":10,\"cpu\":3900,\"mem_mb\":14000,"
            + "\"estimate_ms\":3400}]}");
    long accepted = Deployment.now();
    long limit = Long.getLong("idle", MAX_IDLE_MILLIS);
    Deployment.await(limit, () -> log.starts() > 0);
    boolean broken = log.starts() == 0;
    if (!broken) {
      Deployment.await(10_000, () -> log.doneTasks() == 10);
    }
    Thread.sleep(1_000);
    String state = deployment.state(JOB);
    deployment.finish(
        broken || !state.equals("completed"),
        "LOST: %d starts in %d ms after the acceptance with all workers empty, state %s"
            .formatted(log.starts(), Deployment.now() - accepted, state));
  }
}
