package org.vanillacove.protocol.configuration;

import java.util.List;

/**
 * A configuration that has been parsed and validated.
 *
 * @param defaults values for the whole fleet
 * @param exceptions exceptions that override the defaults within a scope
 */
public record ConfigurationDocument(FleetDefaults defaults, List<ExceptionRule> exceptions) {
  /** Configuration in force on a host that has not applied any other yet. */
  public static final ConfigurationDocument BUILT_IN =
      new ConfigurationDocument(FleetDefaults.BUILT_IN, List.of());

  /** Makes an immutable copy of the exceptions. */
  public ConfigurationDocument {
    exceptions = List.copyOf(exceptions);
  }
}
