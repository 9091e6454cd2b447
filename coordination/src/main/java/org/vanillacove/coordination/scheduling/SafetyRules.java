package org.vanillacove.coordination.scheduling;

/**
 * Rules that keep a task from running twice; a check may switch one off to show that it matters.
 *
 * @param fencing whether pending tasks wait until every worker is fenced or has lapsed for certain
 * @param lapseCertainty whether tasks of a silent worker wait until their leases lapsed for certain
 * @param writeAhead whether starts that may happen at most once are recorded before the command
 */
public record SafetyRules(boolean fencing, boolean lapseCertainty, boolean writeAhead) {
  /** All rules in force. */
  public static final SafetyRules ALL = new SafetyRules(true, true, true);
}
