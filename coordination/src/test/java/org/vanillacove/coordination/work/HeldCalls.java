package org.vanillacove.coordination.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.vanillacove.coordination.work.api.WorkerClient.Recipient;
import org.vanillacove.protocol.timer.TimerService;

/** Calls to fake workers that are kept back, and carried out by the incarnation that is up then. */
final class HeldCalls {
  private final TimerService timer;

  /** Time after which the caller of a kept call gets no answer. */
  private final Duration timeout;

  private final Set<String> holding = new HashSet<>();
  private final Map<String, List<Runnable>> held = new HashMap<>();

  HeldCalls(TimerService timer, Duration timeout) {
    this.timer = timer;
    this.timeout = timeout;
  }

  /** Keeps back all calls to a worker from now on, or ends that. */
  void hold(String worker, boolean hold) {
    if (hold) {
      holding.add(worker);
    } else {
      holding.remove(worker);
    }
  }

  /** Carries out the calls to a worker that were kept back. */
  void release(String worker) {
    held.getOrDefault(worker, List.of()).forEach(Runnable::run);
    held.remove(worker);
  }

  /** Keeps a call if those to its worker are held; its caller gets the outcome if it is in time. */
  <T> boolean keeps(Recipient recipient, Supplier<T> call, T noAnswer, Consumer<T> done) {
    String worker = recipient.entry().id();
    if (!holding.contains(worker)) {
      return false;
    }
    AtomicBoolean answered = new AtomicBoolean();
    Consumer<T> once =
        outcome -> {
          if (answered.compareAndSet(false, true)) {
            done.accept(outcome);
          }
        };
    held.computeIfAbsent(worker, id -> new ArrayList<>()).add(() -> once.accept(call.get()));
    timer.after(timeout, () -> once.accept(noAnswer));
    return true;
  }
}
