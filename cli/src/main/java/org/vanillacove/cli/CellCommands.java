package org.vanillacove.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.vanillacove.transport.operator.message.StatusMessage;
import org.vanillacove.transport.operator.message.WorkerMessage;

/** Commands that show or change workers and the cell as a whole. */
final class CellCommands {
  private CellCommands() {}

  /** Lists workers. */
  static final class ListWorkers extends Command {
    @Override
    int run(CommandContext context) {
      return context.handleQuery(
          context.client().get("/workers"),
          new TypeReference<List<WorkerMessage>>() {},
          workers -> print(context, workers));
    }

    private static void print(CommandContext context, List<WorkerMessage> workers) {
      Table table =
          new Table("ID", "ZONE", "RACK", "STATUS", "TASKS", "CPU", "MEMORY", "ACC", "REASON");
      for (WorkerMessage worker : workers) {
        table.add(
            worker.workerId(),
            worker.zone(),
            worker.rack(),
            JobCommands.displayName(worker.status()),
            worker.runningTasks(),
            worker.committed().cpuMillis() + "/" + worker.capacity().cpuMillis(),
            worker.committed().memoryMib() + "/" + worker.capacity().memoryMib(),
            worker.committed().accelerators() + "/" + worker.capacity().accelerators(),
            worker.reason());
      }
      table.print(context.environment().out());
    }
  }

  /** Changes the status of a worker. */
  static final class ChangeWorker extends Command {
    /** New status of the worker, in lower case. */
    private final String status;

    /** Identifier of the worker. */
    @Argument(required = true, metaVar = "ID", usage = "identifier of the worker")
    private String id;

    /** Reason that is stored with the change. */
    @Option(name = "--reason", required = true, metaVar = "TEXT", usage = "reason for the change")
    private String reason;

    ChangeWorker(String status) {
      this.status = status;
    }

    @Override
    int run(CommandContext context) {
      return context.handleChange(
          context
              .client()
              .post(
                  "/workers/" + id + "/status",
                  CommandContext.body(Map.of("status", status, "reason", reason))),
          "the change of worker " + id,
          outcome -> context.print("worker " + id + " is " + status));
    }
  }

  /** Shows the status of the cell as one entry host sees it. */
  static final class Status extends Command {
    @Override
    int run(CommandContext context) {
      return context.handleQuery(
          context.client().get("/status"),
          new TypeReference<StatusMessage>() {},
          status -> print(context, status));
    }

    private static void print(CommandContext context, StatusMessage status) {
      context.print("answered by    " + status.host());
      context.print(
          "leader         " + status.leader().orElse("none yet") + ", epoch " + status.epoch());
      context.print(
          "log            "
              + (status.logReachable() ? "reachable" : "NOT REACHABLE")
              + ", applied up to offset "
              + status.foldedOffset());
      context.print("configuration  version " + status.configurationVersion());
      context.print(
          "workers        " + status.workers() + ", " + status.activeWorkers() + " active");
      context.print(
          "committed      "
              + status.cpuPercent()
              + "% cpu, "
              + status.memoryPercent()
              + "% memory, "
              + status.acceleratorPercent()
              + "% accelerators");
      context.print(
          "tasks          "
              + status.runningTasks()
              + " running, "
              + status.waitingTasks()
              + " waiting, of "
              + status.jobs()
              + " jobs");
      Table table = new Table("HOST", "REGION", "ZONE", "REACHABLE", "CONFIGURATION");
      for (StatusMessage.HostMessage host : status.hosts()) {
        table.add(
            host.hostId(),
            host.region(),
            host.zone(),
            host.reachable() ? "yes" : "no",
            host.configurationVersion().map(String::valueOf).orElse("no answer"));
      }
      table.print(context.environment().out());
    }
  }

  /** Declares a region or an availability zone lost. */
  static final class DeclareLost extends Command {
    /** Region that is lost or contains the lost availability zone. */
    @Option(
        name = "--region",
        required = true,
        metaVar = "REGION",
        usage = "region that is lost, or that contains the zone")
    private String region;

    /** Lost availability zone, null for the whole region. */
    @Option(name = "--zone", metaVar = "ZONE", usage = "lost zone; by default the whole region")
    private String zone;

    /** Reason that is stored with the change. */
    @Option(name = "--reason", required = true, metaVar = "TEXT", usage = "reason for the change")
    private String reason;

    @Override
    int run(CommandContext context) {
      Map<String, String> fields = new LinkedHashMap<>();
      fields.put("region", region);
      if (zone != null) {
        fields.put("zone", zone);
      }
      fields.put("reason", reason);
      String what = zone == null ? "region " + region : "zone " + zone;
      return context.handleChange(
          context.client().post("/lost", CommandContext.body(fields)),
          "the loss of " + what,
          outcome -> context.print(what + " is declared lost"));
    }
  }
}
