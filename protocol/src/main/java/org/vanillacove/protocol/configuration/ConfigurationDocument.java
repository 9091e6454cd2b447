package org.vanillacove.protocol.configuration;

import java.util.List;

/**
 * A configuration that passed its checks.
 *
 * @param defaults values that cover the whole fleet
 * @param exceptions exceptions from them
 */
public record ConfigurationDocument(FleetDefaults defaults, List<ExceptionRule> exceptions) {
  /** What holds on a host that has not seen a configuration yet. */
  public static final ConfigurationDocument BUILT_IN =
      new ConfigurationDocument(FleetDefaults.BUILT_IN, List.of());

  /** Copies the exceptions. */
  public ConfigurationDocument {
    exceptions = List.copyOf(exceptions);
  }
}
