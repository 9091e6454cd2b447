package org.vanillacove.coordination.routing;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.protocol.generated.SlotLoan;
import org.vanillacove.protocol.peer.PeerLink;
import org.vanillacove.protocol.platform.ListedHost;
import org.vanillacove.protocol.timer.TimerService;
import org.vanillacove.state.api.RoutingSettings;

/** Decides for each request which backend server takes it, when, or why none does; thread-safe. */
public final class RequestRouter {
  /** Period of the reading of the list of backend servers. */
  private static final Duration DIRECTORY_PERIOD = Duration.ofSeconds(1);

  /** Period of claims to tokens and of the sweep for passed deadlines. */
  private static final Duration SWEEP_PERIOD = Duration.ofMillis(50);

  /** Period of the announcement of held loans. */
  private static final Duration HOLDINGS_PERIOD = Duration.ofSeconds(1);

  /** Shortest advice to a refused guest, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

  /** Lead in urgency that a peer's request needs over local ones, in milliseconds. */
  private static final long LENDING_HYSTERESIS_MILLIS = 30;

  /** Share of the slots that must be free before other regions get any, in percent. */
  private static final int CROSS_REGION_RESERVE_PERCENT = 15;

  /** Share of the mean service time that must be left after the wait. */
  private static final double MIN_SERVICE_SHARE_LEFT = 0.5;

  /** This host and its peers. */
  private final Membership membership;

  /** Source of time. */
  private final TimerService timer;

  /** Policy values in force. */
  private final Supplier<RoutingSettings> settings;

  /** Backend servers. */
  private final BackendDirectory directory;

  /** Slots. */
  private final SlotLedger ledger;

  /** Tokens of backend servers. */
  private final TokenManager tokenManager;

  /** Borrows slots from peers. */
  private final SlotBorrower borrower;

  /** Service times of the classes. */
  private final ServiceTimes times = new ServiceTimes();

  /** Chooses backend servers. */
  private final BackendSelector selector;

  /** Waiting requests. */
  private final WaitQueue queue = new WaitQueue();

  /** Limits retries. */
  private final RetryBudget retryBudget;

  /** Number of dispatch calls not worked off yet; the first caller works for all. */
  private final AtomicInteger pendingDispatches = new AtomicInteger();

  /** Time that requests waited, in milliseconds. */
  private final DistributionSummary waitSummary;

  /** Refused requests. */
  private final Counter refusals;

  /** Retries. */
  private final Counter retries;

  /** Timers to cancel at the end. */
  private final List<TimerService.Subscription> timers = new ArrayList<>();

  /** Creates a router and starts its timers. */
  public RequestRouter(
      Membership membership,
      PeerLink link,
      TimerService timer,
      Supplier<RoutingSettings> settings,
      Supplier<List<ListedHost>> backends,
      BackendOccupancy occupancy,
      SlotTiming timing,
      MeterRegistry registry) {
    this.membership = membership;
    this.timer = timer;
    this.settings = settings;
    this.directory = new BackendDirectory(backends);
    long incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
    this.ledger = new SlotLedger(membership, link, timer, settings, timing, incarnation);
    this.tokenManager =
        new TokenManager(membership, link, timer, timing, ledger, directory, occupancy);
    this.borrower = new SlotBorrower(membership, link, timer, ledger);
    this.selector =
        new BackendSelector(
            directory,
            membership.self().zone(),
            times,
            () -> settings.get().crossRegionPenaltyMillis());
    this.retryBudget = new RetryBudget(() -> settings.get().retryBudgetPercent());
    this.waitSummary =
        DistributionSummary.builder("routing.wait.millis")
            .publishPercentiles(0.5, 0.99)
            .register(registry);
    this.refusals = registry.counter("routing.refused");
    this.retries = registry.counter("routing.retries");
    registry.gauge("routing.queue", queue, WaitQueue::size);
    ledger.onSlotFreed(this::dispatch);
    membership.onChange(tokenManager::tick);
    timers.add(timer.every(DIRECTORY_PERIOD, this::refresh));
    timers.add(timer.every(SWEEP_PERIOD, this::sweep));
    timers.add(timer.every(HOLDINGS_PERIOD, ledger::announceHoldings));
    tokenManager.tick();
  }

  /** Gives a request a slot as soon as one is free, or refuses it. */
  public CompletableFuture<Admission> admit(RoutedRequest request) {
    long now = timer.monotonicMillis();
    if (request.avoided().isEmpty()) {
      retryBudget.onRequest();
    }
    CompletableFuture<Admission> admission = new CompletableFuture<>();
    WaitQueue.WaitingRequest waiting = new WaitQueue.WaitingRequest(request, now, admission);
    double wait = queue.size() == 0 ? 0 : expectedWaitMillis(queue.countAhead(request), now);
    double left = (double) (request.deadlineMillis() - now);
    if (left <= 0
        || (times.isReliable()
            && wait + MIN_SERVICE_SHARE_LEFT * times.mean(request.requestClass()) >= left)) {
      refuse(waiting, "the deadline cannot be met", (long) wait);
      return admission;
    }
    queue
        .offer(waiting, settings.get().queueLimit())
        .ifPresent(evicted -> refuse(evicted, "too many requests wait", (long) wait));
    dispatch();
    return admission;
  }

  /** Ends the use of a slot. */
  public void finish(
      SlotHold hold, RoutedRequest request, RequestOutcome outcome, long serviceMillis) {
    BackendHealth health = selector.health(hold.backendId());
    long now = timer.monotonicMillis();
    double relative = serviceMillis / Math.max(1, times.mean(request.requestClass()));
    switch (outcome) {
      case RequestOutcome.Answered answered -> {
        boolean success = answered.status() < 500;
        health.onEnd(success, success ? relative : 0, now);
        if (success && selector.slowness(hold.backendId(), now) < BackendHealth.SLOW_THRESHOLD) {
          times.observe(request.requestClass(), (double) serviceMillis);
        }
      }
      case RequestOutcome.NotRun notRun -> health.onEnd(false, 0, now);
      case RequestOutcome.Unknown unknown -> health.onEnd(false, 0, now);
    }
    hold.release();
  }

  /** Ends the use of a slot by a request whose guest went away. */
  public void abandon(SlotHold hold) {
    selector.health(hold.backendId()).onAbandoned();
    hold.release();
  }

  /** Returns the request to try again, empty if it must not or may not be. */
  public Optional<RoutedRequest> retry(
      RoutedRequest request, RequestOutcome outcome, String backendId) {
    boolean harmless =
        switch (outcome) {
          case RequestOutcome.Answered answered -> false;
          case RequestOutcome.NotRun notRun -> true;
          case RequestOutcome.Unknown unknown -> request.idempotent();
        };
    if (!harmless
        || timer.monotonicMillis() >= request.deadlineMillis()
        || !retryBudget.tryRetry()) {
      return Optional.empty();
    }
    retries.increment();
    return Optional.of(request.avoiding(backendId));
  }

  /** Returns a listed backend server. */
  public Optional<ListedHost> backend(String backendId) {
    return directory.find(backendId);
  }

  /** Returns the slots. */
  public SlotLedger ledger() {
    return ledger;
  }

  /** Returns the number of waiting requests. */
  public int waiting() {
    return queue.size();
  }

  /** Gives the tokens to other hosts; false if one of them was not taken. */
  public CompletableFuture<Boolean> handOver() {
    return tokenManager.transferAll();
  }

  /** Stops the timers. */
  public void close() {
    timers.forEach(TimerService.Subscription::cancel);
  }

  private void refresh() {
    directory.refresh();
    tokenManager.tick();
    dispatch();
  }

  private void sweep() {
    long now = timer.monotonicMillis();
    ledger.checkHostLease();
    queue.expire(now).forEach(waiting -> refuse(waiting, "no slot before the deadline", 0));
    ledger.expirePendingBorrows();
    tokenManager.tick();
    if (queue.size() > 0) {
      dispatch();
    }
  }

  private void refuse(WaitQueue.WaitingRequest waiting, String reason, long waitMillis) {
    refusals.increment();
    long after = Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis);
    waiting.admission().complete(new Admission.Refused(reason, after));
  }

  /** Returns the wait behind {@code ahead} requests if the region's slots are shared evenly. */
  private double expectedWaitMillis(int ahead, long now) {
    String region = membership.self().zone().region();
    long hosts =
        membership.agreedHosts().stream()
            .filter(host -> host.zone().region().equals(region))
            .count();
    long slots = selector.countUsable(region, now) * settings.get().slotsPerBackend();
    return ahead * times.overallMean() * Math.max(1, hosts) / Math.max(1, slots);
  }

  /** Gives free slots to waiting requests and peers; one thread works for all callers. */
  private void dispatch() {
    if (pendingDispatches.getAndIncrement() != 0) {
      return;
    }
    int seen;
    do {
      seen = pendingDispatches.get();
      dispatchOnce();
    } while (pendingDispatches.addAndGet(-seen) != 0);
  }

  private void dispatchOnce() {
    if (queue.size() == 0 && ledger.pendingBorrows().isEmpty()) {
      ledger.returnIdle();
      borrower.cancel();
      return;
    }
    while (lendToMoreUrgentPeer() || grantNext()) {
      // Each pass gives out one slot.
    }
    while (lendSpareSlot()) {
      // What local requests do not need goes to peers.
    }
    ledger.returnIdle();
    List<WaitQueue.WaitingRequest> heads = queue.heads();
    if (heads.isEmpty()) {
      borrower.cancel();
    } else {
      long now = timer.monotonicMillis();
      boolean far =
          heads.stream()
              .anyMatch(
                  head ->
                      selector.mayCrossRegions(
                          head.request(), (double) (now - head.enqueuedMillis())));
      borrower.requestSlots(queue.size(), heads.getFirst().urgencyMillis(), far);
    }
  }

  private boolean grantNext() {
    if (queue.size() == 0 || !ledger.checkHostLease()) {
      return false;
    }
    long now = timer.monotonicMillis();
    double wait = queue.size() == 1 ? 0 : expectedWaitMillis(queue.size(), now);
    for (WaitQueue.WaitingRequest waiting : queue.heads()) {
      double bearable = Math.max(wait, (double) (now - waiting.enqueuedMillis()));
      Optional<SlotHold> hold =
          selector
              .select(waiting.request(), ledger::available, bearable, now)
              .flatMap(backend -> ledger.take(backend.id()));
      if (hold.isPresent() && grant(waiting, hold.get(), now)) {
        return true;
      }
    }
    return false;
  }

  private boolean grant(WaitQueue.WaitingRequest waiting, SlotHold hold, long now) {
    selector.health(hold.backendId()).onStart();
    waitSummary.record((double) (now - waiting.enqueuedMillis()));
    boolean taken =
        queue.remove(waiting) && waiting.admission().complete(new Admission.Granted(hold));
    if (!taken) {
      abandon(hold);
    }
    return taken;
  }

  /** Lends a slot to a peer of the region whose request is clearly more urgent than local ones. */
  private boolean lendToMoreUrgentPeer() {
    if (ledger.pendingBorrows().isEmpty()) {
      return false;
    }
    List<WaitQueue.WaitingRequest> heads = queue.heads();
    if (heads.isEmpty()) {
      return false;
    }
    long latest = heads.getFirst().urgencyMillis() - LENDING_HYSTERESIS_MILLIS;
    return ledger.pendingBorrows().byUrgency().stream()
        .filter(want -> want.urgencyMillis() < latest && isInOwnRegion(want.borrower()))
        .anyMatch(want -> !lendTo(want).isEmpty());
  }

  /** Lends a slot that nobody here needs: first within the region, then from a reserve beyond. */
  private boolean lendSpareSlot() {
    if (ledger.pendingBorrows().isEmpty()) {
      return false;
    }
    List<PendingBorrows.PendingBorrow> wants = ledger.pendingBorrows().byUrgency();
    boolean lent =
        wants.stream()
            .filter(want -> isInOwnRegion(want.borrower()))
            .anyMatch(want -> !lendTo(want).isEmpty());
    if (lent || queue.size() > 0 || !hasCrossRegionReserve()) {
      return lent;
    }
    return wants.stream()
        .filter(want -> !isInOwnRegion(want.borrower()))
        .anyMatch(want -> !lendTo(want).isEmpty());
  }

  private boolean isInOwnRegion(String hostId) {
    String region = membership.self().zone().region();
    return membership.agreedHosts().stream()
        .anyMatch(host -> host.id().equals(hostId) && host.zone().region().equals(region));
  }

  /** Returns whether enough slots are free that other regions may have some. */
  private boolean hasCrossRegionReserve() {
    int held = 0;
    int free = 0;
    for (ListedHost backend : directory.listed()) {
      if (ledger.holdsToken(backend.id())) {
        held += settings.get().slotsPerBackend();
        free += ledger.available(backend.id());
      }
    }
    return free * 100 > held * CROSS_REGION_RESERVE_PERCENT;
  }

  private List<SlotLoan> lendTo(PendingBorrows.PendingBorrow want) {
    long now = timer.monotonicMillis();
    Set<String> unwanted = new HashSet<>(want.message().getUnwantedList());
    double waited = (double) Math.max(0, now - want.urgencyMillis());
    List<SlotLoan> loans = new ArrayList<>();
    for (ListedHost backend : directory.listed()) {
      if (loans.size() < want.message().getCount()
          && ledger.holdsToken(backend.id())
          && selector.isLendable(backend.id(), unwanted, waited, now)) {
        ledger.lend(backend.id(), want).ifPresent(loans::add);
      }
    }
    if (loans.isEmpty()) {
      return loans;
    }
    if (ledger.pendingBorrows().remove(want)) {
      want.answer(loans);
    } else {
      loans.forEach(loan -> ledger.shard(loan.getBackendId()).endLoan(loan.getLoanId()));
    }
    return loans;
  }
}
