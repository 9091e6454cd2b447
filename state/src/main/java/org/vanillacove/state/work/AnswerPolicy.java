package org.vanillacove.state.work;

/**
 * Decides whether a leader may answer from its own jobs. It answers the load of clients that keep
 * their connections to a leader that was suspended or cut off: their requests wait in its sockets,
 * and it reads them before it hears of its successor, which has accepted other jobs meanwhile.
 */
public final class AnswerPolicy {
  /** Maximum time since the last check of the leadership, by each clock: several checks. */
  private static final long MAX_CHECK_AGE_MILLIS = 1_000;

  /**
   * Time after a suspension in which reports of peers that they lost the store don't count, since
   * they may be from before it.
   */
  private static final long PEERS_SETTLE_MILLIS = 2_000;

  /** Share of another host's timeout that has certainly not passed there, since clocks drift. */
  private static final double CLOCK_SHARE = 0.95;

  private AnswerPolicy() {}

  /** What an answer says about the job. */
  public enum Kind {
    /**
     * What the leader's records show. It was true in the leader's term, and stays so but for the
     * progress that a successor makes.
     */
    TELLS,
    /**
     * That a job is unknown, or is not accepted. It is false as soon as a successor has accepted
     * the job.
     */
    DENIES
  }

  /**
   * What a leader knows of its term.
   *
   * @param confirmedAgeMillis time since the newest heartbeat was sent that was read back
   * @param checkAgeMillis time since the last check of the leadership on the monotonic clock
   * @param checkAgeWallMillis the same on the wall clock, which counts suspensions of the machine
   * @param suspensionAgeMillis time since this process was last seen to have been suspended
   * @param storeLostByAllHosts whether no host reaches the store, so that none can be elected
   */
  public record View(
      long confirmedAgeMillis,
      long checkAgeMillis,
      long checkAgeWallMillis,
      long suspensionAgeMillis,
      boolean storeLostByAllHosts) {}

  /**
   * Time without a heartbeat after which others act.
   *
   * @param claimMillis time after which the first other host may claim the leadership
   * @param commandMillis time after which the leader itself sends no more commands
   */
  public record Timeouts(long claimMillis, long commandMillis) {}

  /** Returns whether an answer of {@code kind} may be given at this moment. */
  public static boolean mayAnswer(Kind kind, View view, Timeouts timeouts) {
    // A wall clock that was set back may hide a suspension.
    boolean checked =
        view.checkAgeMillis() < MAX_CHECK_AGE_MILLIS
            && view.checkAgeWallMillis() >= 0
            && view.checkAgeWallMillis() < MAX_CHECK_AGE_MILLIS;
    if (!checked) {
      return false;
    }
    long suspended = Math.max(0, view.checkAgeWallMillis() - view.checkAgeMillis());
    long age = view.confirmedAgeMillis() + suspended;
    long limit =
        kind == Kind.DENIES
            ? (long) (timeouts.claimMillis() * CLOCK_SHARE)
            : timeouts.commandMillis();
    return age <= limit
        || (view.storeLostByAllHosts() && view.suspensionAgeMillis() >= PEERS_SETTLE_MILLIS);
  }
}
