package org.vanillacove.state.tenancy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillacove.state.api.Resources;

/** Tests how many tasks may start under a cap. */
class CapPolicyTest {
  @ParameterizedTest
  @CsvSource({
    // cap, use, claimed, demand, wanted, startable
    "0,500,0,10,7,7",
    "100,0,0,10,7,7",
    "100,0,0,10,70,10",
    "100,95,0,10,7,0",
    "100,90,0,10,7,1",
    "100,120,0,10,7,0",
    "100,100,0,0,7,7",
    "100,101,0,0,7,0",
    "100,60,30,10,7,1",
    "100,80,30,10,7,0",
    "100,40,90,10,7,1",
    "100,0,90,10,7,5",
    "100,50,90,10,7,0",
  })
  void tasksStartUpToTheCap(
      long cap, long use, long claimed, long demand, int wanted, int startable) {
    assertThat(
            CapPolicy.startable(
                new Resources(cap, 0, 0),
                new Resources(use, use, 0),
                new Resources(claimed, claimed, 0),
                new Resources(demand, demand, 0),
                wanted))
        .isEqualTo(startable);
  }

  @ParameterizedTest
  @CsvSource({"0,1,5000,false", "10,10,1,false", "10,1,10,false", "10,11,1,true", "10,1,11,true"})
  void excessIsFoundInEachComponent(int cap, int demand, int tasks, boolean exceeds) {
    for (CapPolicy.Component each : CapPolicy.Component.values()) {
      Resources limit = only(each, cap);
      assertThat(
              CapPolicy.excess(limit, only(each, demand), tasks).map(CapPolicy.Excess::component))
          .isEqualTo(exceeds ? Optional.of(each) : Optional.empty());
    }
  }

  private static Resources only(CapPolicy.Component component, int value) {
    return switch (component) {
      case CPU -> new Resources(value, 0, 0);
      case MEMORY -> new Resources(0, value, 0);
      case ACCELERATORS -> new Resources(0, 0, value);
    };
  }
}
