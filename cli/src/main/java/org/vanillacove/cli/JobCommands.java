package org.vanillacove.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import com.google.common.base.Ascii;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.vanillacove.protocol.document.DocumentOutcome;
import org.vanillacove.protocol.job.JobSpecLoader;
import org.vanillacove.state.api.JobSpec;
import org.vanillacove.state.api.WorkloadKind;
import org.vanillacove.transport.operator.message.JobMessage;
import org.vanillacove.transport.operator.message.OperatorJson;

/** Commands that submit, show, cancel and wait for jobs. */
final class JobCommands {
  private JobCommands() {}

  /** Submits a job. */
  static final class Submit extends Command {
    /** Name of the file with the job specification. */
    @Argument(required = true, metaVar = "FILE", usage = "job file in JSON, see docs/JOBS.md")
    private String file;

    /** Identifier of the job, null to generate one. */
    @Option(
        name = "--id",
        metaVar = "ID",
        usage = "identifier of the job; retry a submission of unknown outcome with the same one")
    private String id;

    @Override
    int run(CommandContext context) {
      Optional<String> text = context.readFile(file);
      if (text.isEmpty()) {
        return ExitCode.BAD_INPUT;
      }
      if (new JobSpecLoader().load(text.get())
          instanceof DocumentOutcome.Rejected<JobSpec> rejected) {
        return context.failFaults(file, rejected);
      }
      String jobId =
          id == null
              ? JobIds.next(context.environment().clock(), context.environment().random())
              : id;
      return context.handleChange(
          context.client().put("/jobs/" + jobId, text.get()),
          "job " + jobId,
          outcome -> context.print(jobId));
    }
  }

  /** Lists jobs. */
  static final class ListJobs extends Command {
    /** Whether to include jobs that have ended. */
    @Option(name = "--all", usage = "include jobs that have ended")
    private boolean all;

    @Override
    int run(CommandContext context) {
      return context.handleQuery(
          context.client().get("/jobs"),
          new TypeReference<List<JobMessage>>() {},
          jobs -> print(context, jobs));
    }

    private void print(CommandContext context, List<JobMessage> jobs) {
      Table table = new Table("ID", "NAME", "TEAM", "KIND", "STATE", "RUN", "END", "TASKS");
      for (JobMessage job : jobs) {
        if (all || !job.state().isFinal()) {
          table.add(
              job.jobId(),
              job.name(),
              job.team(),
              displayName(job.kind()),
              displayName(job.state()),
              job.running(),
              job.ended(),
              job.taskCount());
        }
      }
      table.print(context.environment().out());
    }
  }

  /** Shows a job. */
  static final class Show extends Command {
    /** Identifier of the job. */
    @Argument(required = true, metaVar = "ID", usage = "identifier of the job")
    private String id;

    @Override
    int run(CommandContext context) {
      return context.handleQuery(
          context.client().get("/jobs/" + id),
          new TypeReference<JobMessage>() {},
          job -> print(context, job));
    }

    private static void print(CommandContext context, JobMessage job) {
      context.print("job        " + job.jobId());
      context.print("name       " + job.name() + ", team " + job.team());
      context.print("kind       " + displayName(job.kind()) + ", class " + job.priority());
      context.print("state      " + displayName(job.state()));
      context.print(
          "accepted   "
              + Instant.ofEpochMilli(job.acceptedAtMillis()).truncatedTo(ChronoUnit.SECONDS));
      context.print(
          "one task   "
              + job.cpuMillis()
              + " cpu millis, "
              + job.memoryMib()
              + " MiB, "
              + job.accelerators()
              + " accelerators");
      context.print(
          "tasks      "
              + job.taskCount()
              + ", "
              + job.running()
              + " running, "
              + job.ended()
              + " ended");
      job.waitingFor().ifPresent(reason -> context.print("waits for  " + reason));
      job.remedy().ifPresent(remedy -> context.print("remedy     " + remedy));
      Table table = new Table("TASK", "ATTEMPT", "WORKER", "OUTCOME", "ENDED");
      for (JobMessage.TaskMessage task : job.tasks()) {
        table.add(
            task.index(),
            task.attempt(),
            task.workerId().orElse("-"),
            task.outcome().map(JobCommands::displayName).orElse("-"),
            task.ended() ? "yes" : "no");
      }
      table.print(context.environment().out());
    }
  }

  /** Cancels a job. */
  static final class Cancel extends Command {
    /** Identifier of the job. */
    @Argument(required = true, metaVar = "ID", usage = "identifier of the job")
    private String id;

    /** Reason that is stored with the cancellation. */
    @Option(name = "--reason", metaVar = "TEXT", usage = "why the job is cancelled")
    private String reason = "cancelled by an operator";

    @Override
    int run(CommandContext context) {
      return context.handleChange(
          context
              .client()
              .post("/jobs/" + id + "/cancel", CommandContext.body(Map.of("reason", reason))),
          "the cancellation of job " + id,
          outcome -> context.print("job " + id + " is cancelled"));
    }
  }

  /** Waits until a job ends or a service is running. */
  static final class Wait extends Command {
    /** Interval between two polls. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(300);

    /** Identifier of the job. */
    @Argument(required = true, metaVar = "ID", usage = "identifier of the job")
    private String id;

    /** Maximum time to wait, in seconds. */
    @Option(name = "--timeout", metaVar = "SECONDS", usage = "maximum time to wait")
    private int timeoutSeconds = 600;

    @Override
    int run(CommandContext context) {
      Instant end = context.environment().clock().instant().plusSeconds(timeoutSeconds);
      String shown = "";
      while (true) {
        ClientOutcome outcome = context.client().get("/jobs/" + id);
        if (!(outcome instanceof ClientOutcome.Answered answered) || !answered.isSuccess()) {
          return context.handleQuery(outcome, new TypeReference<JobMessage>() {}, job -> {});
        }
        JobMessage job = OperatorJson.MAPPER.convertValue(answered.body(), JobMessage.class);
        shown = printProgress(context, job, shown);
        if (isDone(job)) {
          context.print("job " + id + " is " + displayName(job.state()));
          return exitCode(job);
        }
        if (!context.environment().clock().instant().isBefore(end)
            || !context.environment().pause().await(POLL_INTERVAL)) {
          return context.fail(
              ExitCode.UNKNOWN,
              "job " + id + " is still " + displayName(job.state()) + ", stopped waiting");
        }
      }
    }

    private static String printProgress(CommandContext context, JobMessage job, String shown) {
      String line =
          displayName(job.state())
              + ": "
              + job.running()
              + " running, "
              + job.ended()
              + " ended of "
              + job.taskCount();
      if (!line.equals(shown)) {
        context.printError(line);
      }
      return line;
    }

    private static boolean isDone(JobMessage job) {
      return job.state().isFinal()
          || (job.kind() == WorkloadKind.SERVICE && job.state() == JobMessage.State.RUNNING);
    }

    private static int exitCode(JobMessage job) {
      return switch (job.state()) {
        case RUNNING, SUCCEEDED -> ExitCode.SUCCESS;
        case UNKNOWN -> ExitCode.UNKNOWN;
        case WAITING, PARTLY_RUNNING, CANCELLING, CANCELLED, FAILED -> ExitCode.REFUSED;
      };
    }
  }

  /** Returns the name of a constant in lower case with hyphens, as printed in tables. */
  static String displayName(Enum<?> constant) {
    return Ascii.toLowerCase(constant.name()).replace('_', '-');
  }
}
