package org.vanillacove.state.tenancy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The organisations of one version of the configuration. */
public final class OrganisationTable {
  /** Table without organisations, of a configuration that names none. */
  public static final OrganisationTable NONE = new OrganisationTable(List.of());

  /** Organisations by name. */
  private final Map<String, Organisation> byName;

  /** Organisations by the digest of each of their keys. */
  private final Map<KeyDigest, Organisation> byKey;

  /** Creates a table of {@code organisations}; of equal names the last one counts. */
  public OrganisationTable(Collection<Organisation> organisations) {
    Map<String, Organisation> names = new HashMap<>();
    organisations.forEach(each -> names.put(each.name(), each));
    Map<KeyDigest, Organisation> keys = new HashMap<>();
    names.values().forEach(each -> each.keys().forEach(key -> keys.put(key, each)));
    byName = Map.copyOf(names);
    byKey = Map.copyOf(keys);
  }

  /** Returns the organisation that owns a key, or empty if no organisation does. */
  public Optional<Organisation> owner(KeyDigest key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns the organisation of a name, or empty if the configuration does not hold it. */
  public Optional<Organisation> find(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  /** Returns all organisations. */
  public Collection<Organisation> all() {
    return byName.values();
  }
}
