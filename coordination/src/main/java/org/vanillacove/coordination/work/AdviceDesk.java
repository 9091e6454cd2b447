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
 * Spreads calls for advice over the hosts. Calls wait in the order in which their steps are served,
 * so that steps that can still be on time are not held up by late ones.
 */
final class AdviceDesk {
  /** Log of advice. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Time by which a ticket is used before its end: an order's way to the worker and a margin. */
  private static final long TICKET_MARGIN_MILLIS = 200;

  /** Time for which a host that got no answer makes no calls. */
  private static final long HOST_PAUSE_MILLIS = 1_000;

  /** Time for an answer beyond the adviser's work: the way by a peer in another region, twice. */
  private static final double ANSWER_MARGIN_MILLIS = 500;

  /** Share of a new sample in the distance of a host. */
  private static final double DISTANCE_GAIN = 0.2;

  /** The adviser. */
  private final Adviser adviser;

  /** Source of time. */
  private final TimerService timer;

  /** Called after each answer. */
  private final Runnable answered;

  /** Calls that wait for a host. */
  private final List<Call> waiting = new ArrayList<>();

  /** What is known of each host that has made a call. */
  private final Map<String, HostState> hosts = new HashMap<>();

  /** Long calls under way. */
  private int longCalls;

  /** Creates a desk; {@code answered} is called after each answer. */
  AdviceDesk(Adviser adviser, TimerService timer, Runnable answered) {
    this.adviser = adviser;
    this.timer = timer;
    this.answered = answered;
  }

  /** Calls of one host. */
  private static final class HostState {
    /** Calls that were sent and not answered. */
    private int calls;

    /** Time that the adviser takes for them, in milliseconds. */
    private double workMillis;

    /** Smoothed time that calls take beyond the adviser's work, in milliseconds. */
    private double distanceMillis;

    /** Monotonic time until which the host makes no calls, in milliseconds. */
    private long pausedUntilMillis;
  }

  /**
   * A call that waits or is under way.
   *
   * @param job the job
   * @param step the step
   * @param policy policy of its queue
   * @param workers workers to ask about
   */
  private record Call(TrackedJob job, TrackedStep step, QueuePolicy policy, List<String> workers) {
    double millis() {
      return policy
          .advice()
          .map(a -> a.decisionMillis() + a.perWorkerMillis() * workers.size())
          .orElse(0.0);
    }

    ServiceOrder.Waiting waiting() {
      return job.waiting(step, policy);
    }
  }

  /** Asks which of {@code workers} may run {@code step}, as soon as a host is free. */
  void ask(TrackedJob job, TrackedStep step, QueuePolicy policy, List<String> workers) {
    step.advice().pending(true);
    waiting.add(new Call(job, step, policy, List.copyOf(workers)));
    serve();
  }

  /** Makes the calls for which hosts are free. */
  void serve() {
    List<Call> dropped = waiting.stream().filter(call -> !call.job().isOpen()).toList();
    dropped.forEach(call -> call.step().advice().pending(false));
    waiting.removeAll(dropped);
    if (waiting.isEmpty()) {
      return;
    }
    long now = timer.monotonicMillis();
    waiting.sort(Comparator.comparing(Call::waiting, ServiceOrder.at(now)));
    List<String> able =
        adviser.hosts().stream().filter(host -> state(host).pausedUntilMillis <= now).toList();
    boolean shortBlocked = false;
    boolean longBlocked = false;
    for (Call call : List.copyOf(waiting)) {
      boolean isLong = AdviceRoute.isLong(call.millis());
      if (isLong ? longBlocked : shortBlocked) {
        continue;
      }
      Optional<AdviceRoute.Caller> caller =
          AdviceRoute.choose(call.millis(), callers(able), longCalls);
      longBlocked |= isLong && caller.isEmpty();
      shortBlocked |= !isLong && caller.isEmpty();
      caller.ifPresent(
          chosen -> {
            waiting.remove(call);
            make(chosen.name(), call);
          });
    }
  }

  private HostState state(String host) {
    return hosts.computeIfAbsent(host, name -> new HostState());
  }

  private List<AdviceRoute.Caller> callers(List<String> able) {
    return able.stream()
        .map(
            host -> {
              HostState state = state(host);
              return new AdviceRoute.Caller(
                  host, state.calls, state.workMillis, state.distanceMillis);
            })
        .toList();
  }

  private void make(String host, Call call) {
    HostState state = state(host);
    state.calls++;
    state.workMillis += call.millis();
    longCalls += AdviceRoute.isLong(call.millis()) ? 1 : 0;
    double expectedMillis = state.workMillis;
    long sent = timer.monotonicMillis();
    adviser.ask(
        host,
        new Adviser.Question(call.job().id(), call.step().index(), call.workers()),
        Duration.ofMillis((long) (expectedMillis + ANSWER_MARGIN_MILLIS)),
        tickets -> {
          state.calls--;
          state.workMillis = state.calls == 0 ? 0 : state.workMillis - call.millis();
          double distance = Math.max(0, timer.monotonicMillis() - sent - expectedMillis);
          state.distanceMillis += DISTANCE_GAIN * (distance - state.distanceMillis);
          answer(host, call, tickets);
        });
  }

  private void answer(String host, Call call, Optional<Map<String, String>> tickets) {
    longCalls -= AdviceRoute.isLong(call.millis()) ? 1 : 0;
    call.step().advice().pending(false);
    long now = timer.monotonicMillis();
    if (tickets.isPresent()) {
      long valid = call.policy().advice().map(QueuePolicy.AdvicePolicy::validMillis).orElse(0L);
      call.step()
          .advice()
          .answered(call.workers(), tickets.get(), now + valid - TICKET_MARGIN_MILLIS);
    } else {
      LOG.atInfo().log(
          "advice: no answer host=%s job=%s step=%d workers=%d",
          host, call.job().id(), call.step().index(), call.workers().size());
      state(host).pausedUntilMillis = now + HOST_PAUSE_MILLIS;
    }
    serve();
    answered.run();
  }
}
