package org.vanillacove.bench;

import java.util.Map;

/** Benchmark that can be run by name. */
public interface Bench {
  /** Runs the benchmark and returns its figures by name, in the order of printing. */
  Map<String, Object> run(long seed) throws Exception;
}
