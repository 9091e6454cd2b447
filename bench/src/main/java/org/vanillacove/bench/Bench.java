package org.vanillacove.bench;

import java.util.Map;

/** A measurement that can be run by name. */
public interface Bench {
  /** Runs the measurement and returns its figures by key, in the order they are printed. */
  Map<String, Object> run(long seed) throws Exception;
}
