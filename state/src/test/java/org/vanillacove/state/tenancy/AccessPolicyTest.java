package org.vanillacove.state.tenancy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.tenancy.AccessPolicy.Access;

/** Checks the order of the reasons for which a call is granted, refused or left undecided. */
class AccessPolicyTest {
  private static final OrganisationTable TABLE =
      new OrganisationTable(
          List.of(
              new Organisation("acme", Set.of(KeyDigest.of("k-1")), 1, Resources.NONE),
              new Organisation("revoked", Set.of(), 1, Resources.NONE)));

  @ParameterizedTest
  @CsvSource({
    "true, k-1, false, Granted[organisation=Optional.empty]",
    "true, , false, Granted[organisation=Optional.empty]",
    "false, k-1, true, Granted[organisation=Optional[acme]]",
    "false, k-2, true, Unauthorized[reason=UNKNOWN_KEY]",
    "false, , true, Unauthorized[reason=MISSING_KEY]",
    "false, k-1, false, Unconfirmed[]",
    "false, k-2, false, Unconfirmed[]",
    "false, , false, Unconfirmed[]"
  })
  void callIsDecidedByRouteKeyAndAge(boolean open, String key, boolean confirmed, String expected) {
    Access access =
        AccessPolicy.decide(open, Optional.ofNullable(key).map(KeyDigest::of), TABLE, confirmed);
    assertThat(access).hasToString(expected);
  }
}
