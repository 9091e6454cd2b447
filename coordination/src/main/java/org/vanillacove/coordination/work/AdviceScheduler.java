package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.vanillacove.coordination.work.api.Adviser;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.work.AdviceRoute;
import org.vanillacove.state.work.QueuePolicy;
import org.vanillacove.state.work.ServiceOrder;

/**
 * Distributes the calls to the adviser over the hosts. Queued calls are sent in the service order
 * of their steps, so that late steps don't delay steps that can still be on time.
 */
final class AdviceScheduler {
  /** Logs failed calls to the adviser (prefix {@code advice:}). */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /**
   * Time before its expiry at which a ticket is dropped: latency of the start command and a margin.
   */
  private static final long TICKET_MARGIN_MILLIS = 200;

  /** Pause of a host after a call without a response. */
  private static final long HOST_PAUSE_MILLIS = 1_000;

  /** Timeout beyond the adviser's own work: twice the latency through a peer in another region. */
  private static final double ANSWER_MARGIN_MILLIS = 500;

  /** Weight of a new sample in the smoothed latency of a host. */
  private static final double LATENCY_GAIN = 0.2;

  /** Makes the calls from a given host. */
  private final Adviser adviser;

  /** Clock and timers; callbacks run on the scheduling thread. */
  private final TimerService timer;

  /** Called after each completed call, successful or not. */
  private final Runnable onAnswer;

  /** Queued calls, sorted into service order before each pass. */
  private final List<Call> waiting = new ArrayList<>();

  /** Pending calls and latency by host; filled on first use. */
  private final Map<String, HostState> hosts = new HashMap<>();

  /** Number of long calls in progress over all hosts. */
  private int longCalls;

  /** Creates a scheduler without queued calls; {@code onAnswer} is called after each call. */
  AdviceScheduler(Adviser adviser, TimerService timer, Runnable onAnswer) {
    this.adviser = adviser;
    this.timer = timer;
    this.onAnswer = onAnswer;
  }

  /** Pending calls and measured latency of one host. */
  private static final class HostState {
    /** Number of calls sent and not answered yet. */
    private int calls;

    /** Estimated time that the adviser needs for the pending calls, in milliseconds. */
    private double workMillis;

    /** Smoothed duration of calls beyond the adviser's own work, in milliseconds. */
    private double latencyMillis;

    /** Monotonic time until which the host gets no calls, in milliseconds. */
    private long pausedUntilMillis;
  }

  /**
   * A call that is queued or in progress.
   *
   * @param job job of the step
   * @param step step that needs workers
   * @param policy policy of the job's queue, with the cost of a call
   * @param workers identifiers of the workers that the adviser decides on
   */
  private record Call(TrackedJob job, TrackedStep step, QueuePolicy policy, List<String> workers) {
    double millis() {
      return policy
          .advice()
          .map(a -> a.decisionMillis() + a.perWorkerMillis() * workers.size())
          .orElse(0.0);
    }

    ServiceOrder.WaitingStep waiting() {
      return job.waiting(step, policy);
    }
  }

  /** Queues a call that asks which of {@code workers} may run {@code step}. */
  void ask(TrackedJob job, TrackedStep step, QueuePolicy policy, List<String> workers) {
    step.advice().setPending(true);
    waiting.add(new Call(job, step, policy, List.copyOf(workers)));
    sendCalls();
  }

  /** Drops queued calls of closed jobs and sends the calls for which a host is available. */
  void sendCalls() {
    List<Call> dropped = waiting.stream().filter(call -> !call.job().isOpen()).toList();
    dropped.forEach(call -> call.step().advice().setPending(false));
    waiting.removeAll(dropped);
    if (waiting.isEmpty()) {
      return;
    }
    long now = timer.monotonicMillis();
    waiting.sort(Comparator.comparing(Call::waiting, ServiceOrder.at(now)));
    List<String> available =
        adviser.hosts().stream().filter(host -> state(host).pausedUntilMillis <= now).toList();
    List<AdviceRoute.Caller> callers = callers(available);
    boolean shortBlocked = false;
    boolean longBlocked = false;
    for (Call call : List.copyOf(waiting)) {
      boolean isLong = AdviceRoute.isLong(call.millis());
      if (isLong ? longBlocked : shortBlocked) {
        continue;
      }
      Optional<AdviceRoute.Caller> caller = AdviceRoute.choose(call.millis(), callers, longCalls);
      longBlocked |= isLong && caller.isEmpty();
      shortBlocked |= !isLong && caller.isEmpty();
      if (caller.isPresent()) {
        waiting.remove(call);
        send(caller.get().name(), call);
        callers = callers(available);
      }
    }
  }

  private HostState state(String host) {
    return hosts.computeIfAbsent(host, name -> new HostState());
  }

  private List<AdviceRoute.Caller> callers(List<String> available) {
    return available.stream()
        .map(
            host -> {
              HostState state = state(host);
              return new AdviceRoute.Caller(
                  host, state.calls, state.workMillis, state.latencyMillis);
            })
        .toList();
  }

  private void send(String host, Call call) {
    HostState state = state(host);
    state.calls++;
    state.workMillis += call.millis();
    longCalls += AdviceRoute.isLong(call.millis()) ? 1 : 0;
    double expectedMillis = state.workMillis;
    long sent = timer.monotonicMillis();
    adviser.requestAdvice(
        host,
        new Adviser.AdviceRequest(call.job().id(), call.step().index(), call.workers()),
        Duration.ofMillis((long) (expectedMillis + ANSWER_MARGIN_MILLIS)),
        tickets -> {
          state.calls--;
          state.workMillis = state.calls == 0 ? 0 : state.workMillis - call.millis();
          double latency = Math.max(0, timer.monotonicMillis() - sent - expectedMillis);
          state.latencyMillis += LATENCY_GAIN * (latency - state.latencyMillis);
          handleAnswer(host, call, tickets);
        });
  }

  private void handleAnswer(String host, Call call, Optional<Map<String, String>> tickets) {
    longCalls -= AdviceRoute.isLong(call.millis()) ? 1 : 0;
    call.step().advice().setPending(false);
    long now = timer.monotonicMillis();
    if (tickets.isPresent()) {
      long valid = call.policy().advice().map(QueuePolicy.AdvicePolicy::validMillis).orElse(0L);
      call.step()
          .advice()
          .addAnswer(call.workers(), tickets.get(), now + valid - TICKET_MARGIN_MILLIS);
    } else {
      LOG.atInfo().log(
          "advice: no answer host=%s job=%s step=%d workers=%d",
          host, call.job().id(), call.step().index(), call.workers().size());
      state(host).pausedUntilMillis = now + HOST_PAUSE_MILLIS;
    }
    sendCalls();
    onAnswer.run();
  }
}
