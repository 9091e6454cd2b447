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

/**
 * Assigns each request to a backend server, queues it until a slot is free, or rejects it with a
 * reason; thread-safe.
 */
public final class RequestRouter {
  /** Interval between refreshes of the list of backend servers. */
  private static final Duration DIRECTORY_PERIOD = Duration.ofSeconds(1);

  /** Interval at which tokens are claimed and requests past their deadline are rejected. */
  private static final Duration SWEEP_PERIOD = Duration.ofMillis(50);

  /** Interval at which the loans held by this host are announced to its peers. */
  private static final Duration HOLDINGS_PERIOD = Duration.ofSeconds(1);

  /** Minimum retry delay given to a guest whose request was rejected, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

  /**
   * How much more urgent a peer's request must be than every local one to be lent a slot first, in
   * milliseconds.
   */
  private static final long LENDING_HYSTERESIS_MILLIS = 30;

  /** Percentage of this host's slots that must be free before it lends any to other regions. */
  private static final int CROSS_REGION_RESERVE_PERCENT = 15;

  /**
   * Minimum time from the end of the expected wait to the deadline, as a share of the mean service
   * time; a request with less is rejected on arrival.
   */
  private static final double MIN_SERVICE_SHARE_LEFT = 0.5;

  /** Membership as seen by this host, including its own zone. */
  private final Membership membership;

  /** Clock and scheduler; deadlines and waits use its monotonic time. */
  private final TimerService timer;

  /** Supplies the routing settings currently in force. */
  private final Supplier<RoutingSettings> settings;

  /** Backend servers on the platform's list. */
  private final BackendDirectory directory;

  /** Slots that this host owns, lends and borrows. */
  private final SlotLedger ledger;

  /** Acquires and transfers the tokens that entitle a host to give out slots. */
  private final TokenManager tokenManager;

  /** Borrows slots from peers while requests wait. */
  private final SlotBorrower borrower;

  /** Observed service times by request class. */
  private final ServiceTimes times = new ServiceTimes();

  /** Selects a backend server for a request. */
  private final BackendSelector selector;

  /** Requests that wait for a slot. */
  private final WaitQueue queue = new WaitQueue();

  /** Limits retries to a share of the requests. */
  private final RetryBudget retryBudget;

  /**
   * Number of dispatch calls not yet processed; the thread that raises it from zero processes them
   * all.
   */
  private final AtomicInteger pendingDispatches = new AtomicInteger();

  /** Distribution of the time that requests waited for a slot, in milliseconds. */
  private final DistributionSummary waitSummary;

  /** Counts rejected requests. */
  private final Counter refusals;

  /** Counts retries allowed by the budget. */
  private final Counter retries;

  /** Periodic timers, cancelled by {@link #close()}. */
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

  /**
   * Queues a request until it is granted a slot, or rejects it. The returned future completes with
   * the result.
   */
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

  /** Releases a slot and records the outcome of its request in the backend server's health. */
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

  /** Releases a slot whose guest disconnected; the backend server's health is not affected. */
  public void abandon(SlotHold hold) {
    selector.health(hold.backendId()).onAbandoned();
    hold.release();
  }

  /**
   * Returns the request to retry. Empty if it was answered, if it may have run and is not
   * idempotent, if its deadline has passed or if the retry budget is spent.
   */
  public Optional<RoutedRequest> retry(
      RoutedRequest request, RequestOutcome outcome, String backendId) {
    boolean retryable =
        switch (outcome) {
          case RequestOutcome.Answered answered -> false;
          case RequestOutcome.NotRun notRun -> true;
          case RequestOutcome.Unknown unknown -> request.idempotent();
        };
    if (!retryable
        || timer.monotonicMillis() >= request.deadlineMillis()
        || !retryBudget.tryRetry()) {
      return Optional.empty();
    }
    retries.increment();
    return Optional.of(request.avoiding(backendId));
  }

  /** Returns a backend server, empty if it is not on the platform's list. */
  public Optional<ListedHost> backend(String backendId) {
    return directory.find(backendId);
  }

  /** Returns the ledger of the slots known to this host. */
  public SlotLedger ledger() {
    return ledger;
  }

  /** Returns the number of waiting requests. */
  public int waiting() {
    return queue.size();
  }

  /** Transfers all tokens to other hosts; completes with false if one was not accepted. */
  public CompletableFuture<Boolean> transferTokens() {
    return tokenManager.transferAll();
  }

  /** Stops the periodic timers; waiting requests stay in the queue. */
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

  /**
   * Estimates the wait in milliseconds behind {@code ahead} requests, assuming that the hosts of
   * the region share its slots evenly.
   */
  private double expectedWaitMillis(int ahead, long now) {
    String region = membership.self().zone().region();
    long hosts =
        membership.agreedHosts().stream()
            .filter(host -> host.zone().region().equals(region))
            .count();
    long slots = selector.countUsable(region, now) * settings.get().slotsPerBackend();
    return ahead * times.overallMean() * Math.max(1, hosts) / Math.max(1, slots);
  }

  /**
   * Gives free slots to waiting requests and to peers. One thread at a time does the work;
   * concurrent calls make it run another pass.
   */
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
      // Each iteration grants or lends one slot.
    }
    while (lendSpareSlot()) {
      // Each iteration lends one slot that no local request needs.
    }
    ledger.returnIdle();
    List<WaitQueue.WaitingRequest> heads = queue.heads();
    if (heads.isEmpty()) {
      borrower.cancel();
    } else {
      long now = timer.monotonicMillis();
      boolean crossRegion =
          heads.stream()
              .anyMatch(
                  head ->
                      selector.mayCrossRegions(
                          head.request(), (double) (now - head.enqueuedMillis())));
      borrower.requestSlots(queue.size(), heads.getFirst().urgencyMillis(), crossRegion);
    }
  }

  private boolean grantNext() {
    if (queue.size() == 0 || !ledger.checkHostLease()) {
      return false;
    }
    long now = timer.monotonicMillis();
    double wait = queue.size() == 1 ? 0 : expectedWaitMillis(queue.size(), now);
    for (WaitQueue.WaitingRequest waiting : queue.heads()) {
      double acceptableWait = Math.max(wait, (double) (now - waiting.enqueuedMillis()));
      Optional<SlotHold> hold =
          selector
              .select(waiting.request(), ledger::available, acceptableWait, now)
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

  /**
   * Lends a slot to a peer of this region whose request is more urgent than all local ones by more
   * than {@link #LENDING_HYSTERESIS_MILLIS}.
   */
  private boolean lendToMoreUrgentPeer() {
    if (ledger.pendingBorrows().isEmpty()) {
      return false;
    }
    List<WaitQueue.WaitingRequest> heads = queue.heads();
    if (heads.isEmpty()) {
      return false;
    }
    long lendBeforeMillis = heads.getFirst().urgencyMillis() - LENDING_HYSTERESIS_MILLIS;
    return ledger.pendingBorrows().byUrgency().stream()
        .filter(
            pendingBorrow ->
                pendingBorrow.urgencyMillis() < lendBeforeMillis
                    && isInOwnRegion(pendingBorrow.borrower()))
        .anyMatch(pendingBorrow -> !lendTo(pendingBorrow).isEmpty());
  }

  /**
   * Lends a slot that no local request needs: first to peers of this region, then to peers of other
   * regions if no request waits here and enough slots are free.
   */
  private boolean lendSpareSlot() {
    if (ledger.pendingBorrows().isEmpty()) {
      return false;
    }
    List<PendingBorrows.PendingBorrow> mostUrgentFirst = ledger.pendingBorrows().byUrgency();
    boolean lent =
        mostUrgentFirst.stream()
            .filter(pendingBorrow -> isInOwnRegion(pendingBorrow.borrower()))
            .anyMatch(pendingBorrow -> !lendTo(pendingBorrow).isEmpty());
    if (lent || queue.size() > 0 || !hasCrossRegionReserve()) {
      return lent;
    }
    return mostUrgentFirst.stream()
        .filter(pendingBorrow -> !isInOwnRegion(pendingBorrow.borrower()))
        .anyMatch(pendingBorrow -> !lendTo(pendingBorrow).isEmpty());
  }

  private boolean isInOwnRegion(String hostId) {
    String region = membership.self().zone().region();
    return membership.agreedHosts().stream()
        .anyMatch(host -> host.id().equals(hostId) && host.zone().region().equals(region));
  }

  /** Returns whether more slots are free than the reserve kept from other regions. */
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

  private List<SlotLoan> lendTo(PendingBorrows.PendingBorrow pendingBorrow) {
    long now = timer.monotonicMillis();
    Set<String> unwanted = new HashSet<>(pendingBorrow.message().getUnwantedList());
    double waited = (double) Math.max(0, now - pendingBorrow.urgencyMillis());
    List<SlotLoan> loans = new ArrayList<>();
    for (ListedHost backend : directory.listed()) {
      if (loans.size() < pendingBorrow.message().getCount()
          && ledger.holdsToken(backend.id())
          && selector.isLendable(backend.id(), unwanted, waited, now)) {
        ledger.lend(backend.id(), pendingBorrow).ifPresent(loans::add);
      }
    }
    if (loans.isEmpty()) {
      return loans;
    }
    if (ledger.pendingBorrows().remove(pendingBorrow)) {
      pendingBorrow.answer(loans);
    } else {
      loans.forEach(loan -> ledger.shard(loan.getBackendId()).endLoan(loan.getLoanId()));
    }
    return loans;
  }
}
