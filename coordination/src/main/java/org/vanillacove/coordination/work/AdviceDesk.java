package org.vanillacove.coordination.work;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.vanillacove.coordination.work.api.Adviser;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.work.QueuePolicy;

/**
 * Spreads calls for advice over the hosts, one at a time for each, since the adviser serves each
 * host in turn. The load it answers: long calls for large steps would hold up the short calls of
 * small ones, so some hosts never make long calls.
 */
final class AdviceDesk {
  /** Log of advice. */
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Time of a call from which it counts as long. */
  private static final double LONG_CALL_MILLIS = 300;

  /** Hosts that never make long calls, where there are more than this many. */
  private static final int HOSTS_FOR_SHORT_CALLS = 3;

  /** Time by which a ticket is used before its end: an order's way to the worker and a margin. */
  private static final long TICKET_MARGIN_MILLIS = 200;

  /** Time for which a host that got no answer makes no calls. */
  private static final long HOST_PAUSE_MILLIS = 1_000;

  /** The adviser. */
  private final Adviser adviser;

  /** Source of time. */
  private final TimerService timer;

  /** Called after each answer. */
  private final Runnable answered;

  /** Calls that wait for a host. */
  private final List<Call> waiting = new ArrayList<>();

  /** Hosts that make a call now. */
  private final Set<String> busy = new HashSet<>();

  /** Monotonic time until which a host makes no calls. */
  private final Map<String, Long> paused = new HashMap<>();

  /** Long calls under way. */
  private int longCalls;

  /** Creates a desk; {@code answered} is called after each answer. */
  AdviceDesk(Adviser adviser, TimerService timer, Runnable answered) {
    this.adviser = adviser;
    this.timer = timer;
    this.answered = answered;
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

    boolean isLong() {
      return millis() > LONG_CALL_MILLIS;
    }
  }

  /** Asks which of {@code workers} may run {@code step}, as soon as a host is free. */
  void ask(TrackedJob job, TrackedStep step, QueuePolicy policy, List<String> workers) {
    step.advice().pending(true);
    waiting.add(new Call(job, step, policy, List.copyOf(workers)));
    waiting.sort(
        Comparator.comparingInt((Call call) -> call.policy().priority())
            .thenComparingLong(
                call -> call.job().submittedMillis() + call.job().objectiveMillis()));
    serve();
  }

  /** Makes the calls for which hosts are free. */
  void serve() {
    List<Call> dropped = waiting.stream().filter(call -> call.job().stage().isFinal()).toList();
    dropped.forEach(call -> call.step().advice().pending(false));
    waiting.removeAll(dropped);
    long now = timer.monotonicMillis();
    List<String> hosts = adviser.hosts();
    List<String> free =
        new ArrayList<>(
            hosts.stream()
                .filter(host -> !busy.contains(host) && paused.getOrDefault(host, 0L) <= now)
                .toList());
    int longLimit = Math.max(1, hosts.size() - HOSTS_FOR_SHORT_CALLS);
    for (Call call : List.copyOf(waiting)) {
      if (free.isEmpty()) {
        return;
      }
      if (!call.isLong() || longCalls < longLimit) {
        waiting.remove(call);
        make(free.removeLast(), call);
      }
    }
  }

  private void make(String host, Call call) {
    busy.add(host);
    longCalls += call.isLong() ? 1 : 0;
    adviser.ask(
        host,
        call.job().id(),
        call.step().index(),
        call.workers(),
        tickets -> answer(host, call, tickets));
  }

  private void answer(String host, Call call, Optional<Map<String, String>> tickets) {
    busy.remove(host);
    longCalls -= call.isLong() ? 1 : 0;
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
      paused.put(host, now + HOST_PAUSE_MILLIS);
    }
    serve();
    answered.run();
  }
}
