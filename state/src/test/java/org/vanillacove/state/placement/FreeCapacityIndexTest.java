package org.vanillacove.state.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.vanillacove.state.api.PlacementConstraints;
import org.vanillacove.state.api.Resources;
import org.vanillacove.state.api.WorkerSpec;

/** Compares the index with a scan of all workers, and the sample window with a sort. */
final class FreeCapacityIndexTest {
  @Property(tries = 100, seed = "4715")
  void findsWorkerExactlyWhenScanFindsOne(@ForAll long seed) {
    Random random = new Random(seed);
    WorkerTable indexed = new WorkerTable(FreeCapacityIndex::new);
    WorkerTable scanned = new WorkerTable(ScanIndex::new);
    for (int i = 0; i < 20; i++) {
      Resources capacity = new Resources(8_000, 32_768, i % 3 == 0 ? 4 : 0);
      WorkerSpec spec = Specs.worker("w" + i, "a1", "r" + i, capacity, Optional.empty());
      indexed.add(spec);
      scanned.add(spec);
    }
    for (int step = 0; step < 120; step++) {
      Resources size = size(random);
      Optional<WorkerState> found =
          indexed.index(PlacementConstraints.ANY).find(size, worker -> true);
      Optional<WorkerState> best =
          scanned.index(PlacementConstraints.ANY).find(size, worker -> true);
      assertThat(found.isPresent()).isEqualTo(best.isPresent());
      if (found.isPresent()) {
        assertThat(size.fitsIn(found.get().placeable())).isTrue();
        assertThat(FreeCapacityIndex.rowOf(found.get()))
            .isEqualTo(FreeCapacityIndex.rowOf(best.get()));
        indexed.reserve(found.get(), size);
        scanned.reserve(scanned.get(found.get().id()).orElseThrow(), size);
      }
    }
  }

  @Property(tries = 100, seed = "4716")
  void quantilesMatchSortOfLastSamples(@ForAll long seed) {
    Random random = new Random(seed);
    SampleWindow window = new SampleWindow();
    float[] samples = new float[60];
    for (int i = 0; i < samples.length; i++) {
      samples[i] = random.nextInt(8);
      window.add(samples[i]);
      float[] last = Arrays.copyOfRange(samples, Math.max(0, i - 23), i + 1);
      Arrays.sort(last);
      assertThat(window.size()).isEqualTo(last.length);
      assertThat(window.quantile(0.5)).isEqualTo(last[(int) Math.ceil(0.5 * last.length) - 1]);
      assertThat(window.quantile(1)).isEqualTo(last[last.length - 1]);
    }
  }

  private static Resources size(Random random) {
    return new Resources(
        250L * (1 + random.nextInt(20)),
        512L * (1 + random.nextInt(24)),
        random.nextInt(4) == 0 ? 1 + random.nextInt(2) : 0);
  }
}
