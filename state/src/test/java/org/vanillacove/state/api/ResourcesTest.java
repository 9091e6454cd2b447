package org.vanillacove.state.api;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests comparison, arithmetic and overflow of {@link Resources}. */
class ResourcesTest {
  @ParameterizedTest
  @CsvSource({"1, 0, 0", "0, 1, 0", "0, 0, 1"})
  void oneDimensionTooLargeDoesNotFit(long cpu, long memory, int accelerators) {
    Resources capacity = new Resources(10, 10, 10);

    Resources large = capacity.plus(new Resources(cpu, memory, accelerators));

    assertThat(large.fitsIn(capacity)).isFalse();
    assertThat(capacity.minus(large).isNegative()).isTrue();
  }

  @Property(seed = "1")
  void minusUndoesPlus(@ForAll @IntRange(min = 0) int cpu, @ForAll @IntRange(min = 0) int memory) {
    Resources first = new Resources(cpu, memory, 1);
    Resources second = new Resources(memory, cpu, 2);

    assertThat(first.plus(second).minus(second)).isEqualTo(first);
  }

  @Test
  void overflowThrowsArithmeticException() {
    Resources huge = new Resources(Long.MAX_VALUE, 0, 0);

    assertThatThrownBy(() -> huge.plus(huge)).isInstanceOf(ArithmeticException.class);
  }
}
