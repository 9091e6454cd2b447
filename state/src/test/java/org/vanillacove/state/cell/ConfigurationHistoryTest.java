package org.vanillacove.state.cell;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against versions that are reconstructed wrongly from stored differences, also after a
 * snapshot is restored, and against a history that outgrows its limits.
 */
class ConfigurationHistoryTest {
  private static final int CHANGES = 1_400;
  private static final String[] TEXTS = {
    "", "a", "ab", "\uD83D\uDE00", "\uD83D\uDE01", "\uD83C\uDE00"
  };

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void entriesEqualTheAddedVersions(long seed) {
    Random random = new Random(seed);
    ConfigurationHistory history = new ConfigurationHistory();
    List<ConfigurationEntry> added = new ArrayList<>();
    for (int i = 1; i <= CHANGES; i++) {
      ConfigurationEntry entry = new ConfigurationEntry(3L * i, document(random), "ana", "r" + i);
      history.add(entry);
      added.add(entry);
      if (random.nextInt(100) == 0) {
        history = ConfigurationHistory.restore(history.deltas());
      }
    }

    assertThat(history.entries()).isEqualTo(added);
    assertThat(history.newest()).isEqualTo(added.getLast());
    assertThat(history.find(3L * 700)).contains(added.get(699));
    assertThat(history.find(3L * 700 + 1)).isEmpty();
    assertThat(history.find(0)).isEmpty();
    history
        .deltas()
        .forEach(
            delta ->
                assertThat(new String(delta.text().getBytes(UTF_8), UTF_8))
                    .isEqualTo(delta.text()));
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 20_000})
  void oldestVersionsAreDroppedBeyondTheLimits(int documentCharacters) {
    ConfigurationHistory history = new ConfigurationHistory();
    for (int i = 1; i <= 2 * ConfigurationHistory.MAX_VERSIONS; i++) {
      String document = Integer.toString(i).repeat(documentCharacters / 4);
      history.add(new ConfigurationEntry(i, document, "ana", "r"));
    }

    List<ConfigurationDelta> deltas = history.deltas();
    int stored = deltas.stream().mapToInt(ConfigurationDelta::characters).sum();
    assertThat(deltas).hasSizeBetween(10, ConfigurationHistory.MAX_VERSIONS);
    assertThat(stored - deltas.getLast().characters())
        .isLessThanOrEqualTo(ConfigurationHistory.MAX_CHARACTERS);
    assertThat(history.entries())
        .extracting(ConfigurationEntry::version)
        .startsWith(2L * ConfigurationHistory.MAX_VERSIONS - deltas.size() + 1)
        .endsWith(2L * ConfigurationHistory.MAX_VERSIONS);
  }

  private static String document(Random random) {
    StringBuilder document = new StringBuilder();
    for (int i = 0; i < 12; i++) {
      document.append(TEXTS[random.nextInt(TEXTS.length)]);
    }
    return document.toString();
  }
}
