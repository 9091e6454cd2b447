package review;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The workers' entries expire while the store is down and come back. Later one of them,
 * on which a task runs, is cut off for some seconds, and the leader is killed at that time.
 */
public final class ForgottenWorker {
  private static final long OUTAGE_MILLIS = 4_500;
  private static final long CUT_MILLIS = 4_000;
  private static final long FAR_ONE_WAY_MILLIS = 30;
  private static final String JOB = "/plans/5c0e7a21d94b36f8";
  private static final String FAR_RACK = "r3-1";

  private ForgottenWorker() {}

  public static void main(String[] args) throws Exception {
    Deployment deployment = new Deployment(args[0], 3);
    RunLog log = new RunLog(deployment, true);
    deployment.configure(1, Deployment.route("plans", 1, 2.2, 20_000));
    List<WorkerStandin> near =
        IntStream.range(0, 6)
            .mapToObj(
                i ->
                    new WorkerStandin(
                        "i-near-" + i, deployment.network + "10" + i, deployment.store, log, "a",
                        "r1-1", 64_000, 0))
            .toList();
    WorkerStandin far =
        new WorkerStandin(
            "i-far", deployment.network + "110", deployment.store, log, "a", FAR_RACK, 64_000,
            FAR_ONE_WAY_MILLIS);
    for (WorkerStandin worker : near) {
      worker.start();
    }
    far.start();
    deployment.start();
    Thread.sleep(3_000);
    if (deployment.trouble) {
      // An ordinary change of leader, so that the leader has read the records of a former one.
      deployment.replaceLeader();
      Thread.sleep(5_000);
      // The entry then expires before the end of the outage and is back 1.2 s after it.
      Deployment.require(
          Deployment.await(
              5_000, () -> far.sinceBeatMillis() >= 300 && far.sinceBeatMillis() < 400),
          "no heartbeat of i-far");
      deployment.store.setDown(true);
      deployment.note("store down (answers 503)");
      long end = Deployment.now() + OUTAGE_MILLIS;
      while (Deployment.now() < end) {
        Thread.sleep(100);
        deployment
            .store
            .expireEntries()
            .forEach(id -> deployment.note("entry of %s expires after 4,500 ms of silence", id));
      }
      deployment.store.setDown(false);
      deployment.note("store up");
      Thread.sleep(6_000);
    }
    WorkerStandin.DEMAND_CPU.put("5c0e7a21d94b36f8.0", 18_000L);
    deployment.submit(
        JOB,
        ("{\"spec\":\"work_ms=8000\",\"steps\":[{\"count\":1,\"cpu\":18000,\"mem_mb\":37000,"
                + "\"estimate_ms\":8000,\"data_rack\":\"%s\"}]}")
            .formatted(FAR_RACK));
    Deployment.require(
        Deployment.await(5_000, () -> far.runningTasks() == 1), "the task does not run on i-far");
    Thread.sleep(2_000);
    if (deployment.trouble) {
      far.setCut(true);
      deployment.note("%s is cut off and runs on", far.id);
      deployment.replaceLeader();
      Thread.sleep(CUT_MILLIS);
      far.setCut(false);
      deployment.note("%s is reached again", far.id);
    }
    for (int i = 0; i < 60 && !deployment.state(JOB).equals("completed"); i++) {
      Thread.sleep(500);
    }
    long twice = log.startsAfterNotedDone() + log.overlaps().size();
    deployment.finish(
        twice > 0,
        "TWICE: %d starts of the task, overlapping: %s".formatted(log.starts(), log.overlaps()));
  }
}
