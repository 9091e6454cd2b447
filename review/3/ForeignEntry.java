package review;

/**
 * Another writer keeps an entry of its own among those of the workers: its service is not one of
 * the configuration, and its key is not ASCII. Then jobs are submitted, run and cancelled.
 */
public final class ForeignEntry {
  private static final String ENTRY_ID = "l\u00e4ufer-7";
  private static final int JOBS = 6;

  /** Time within which a cancellation has its answer, ack_ms of the settings. */
  private static final long ACK_MILLIS = 5_000;

  private ForeignEntry() {}

  public static void main(String[] args) throws Exception {
    Deployment deployment = new Deployment(args[0], 3);
    RunLog log = new RunLog(deployment, true);
    deployment.configure(1, Deployment.route("checks", 2, 4, 20_000));
    for (int i = 0; i < 4; i++) {
      new WorkerStandin(
              "i-worker-" + i, deployment.network + "10" + i, deployment.store, log, "a", "r1-1",
              64_000, 0)
          .start();
    }
    deployment.start();
    Thread.sleep(3_000);
    String[] jobs = new String[JOBS];
    for (int i = 0; i < JOBS; i++) {
      String id = "%016x".formatted(0x77aa0e21d94b3600L + i);
      jobs[i] = "/checks/" + id;
      WorkerStandin.DEMAND_CPU.put(id + ".0", 3_900L);
      deployment.submit(
          jobs[i],
          "{\"spec\":\"work_ms=6000\",\"steps\":[{\"count\":10,\"cpu\":3900,\"mem_mb\":14000,"
              + "\"estimate_ms\":6000}]}");
    }
    Thread.sleep(500);
    Thread writer =
        Thread.ofVirtual()
            .unstarted(
                () -> {
                  try {
                    for (int seq = 0; ; seq++) {
                      deployment.store.beat(ENTRY_ID, entry(deployment, seq));
                      deployment.note("another writer writes the entry %s", ENTRY_ID);
                      Thread.sleep(Deployment.HEARTBEAT_MILLIS);
                    }
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                });
    if (deployment.trouble) {
      writer.start();
    }
    Thread.sleep(2_000);
    // Three of the six jobs are cancelled; each client asks again until it has an answer.
    int unanswered = 0;
    for (int i = 0; i < 3; i++) {
      unanswered += isCancelled(deployment, jobs[i]) ? 0 : 1;
    }
    Deployment.await(20_000, () -> log.unnotedEnds() == 0);
    Thread.sleep(ACK_MILLIS);
    int unnoted = log.unnotedEnds();
    int ends = log.ends();
    for (String job : jobs) {
      deployment.state(job);
    }
    deployment.call(
        deployment.hosts().getFirst(),
        "POST",
        "/checks/77aa0e21d94b36ff",
        "{\"spec\":\"work_ms=600\",\"steps\":[{\"count\":1,\"cpu\":3900}]}");
    deployment.finish(
        unanswered > 0 || unnoted * 5 > ends,
        "Acks: %d of 3 cancels without 2xx or 410 after %d ms, %d of %d ends not taken note of"
            .formatted(unanswered, ACK_MILLIS, unnoted, ends));
  }

  private static boolean isCancelled(Deployment deployment, String job)
      throws InterruptedException {
    long end = Deployment.now() + ACK_MILLIS;
    for (int i = 0; Deployment.now() < end; i++) {
      int status = deployment.call(deployment.hosts().get(i % 3), "DELETE", job, "").getKey();
      if (status / 100 == 2 || status == 410) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  private static String entry(Deployment deployment, int sequence) {
    return ("{\"service\":\"an-other-service\",\"address\":\"%s250:9\",\"zone\":\"attica-a\","
            + "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,"
            + "\"seq\":%d,\"born\":1764930000000,\"capacity\":{\"cpu\":64000,\"mem_mb\":262144,"
            + "\"gpu\":0},\"labels\":[\"a\",\"r9-1\"]}")
        .formatted(deployment.network, sequence);
  }
}
