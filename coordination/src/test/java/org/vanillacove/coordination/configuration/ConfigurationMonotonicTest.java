package org.vanillacove.coordination.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.protocol.configuration.ConfigurationLoader;
import org.vanillacove.standin.memory.ManualTimerService;
import org.vanillacove.state.api.CellRecord;
import org.vanillacove.state.api.RecordEnvelope;
import org.vanillacove.state.cell.CellSnapshot;
import org.vanillacove.state.cell.CellState;
import org.vanillacove.state.cell.ConfigurationEntry;

/**
 * Guards against a host that puts an older configuration version in force again, after duplicate or
 * late records in the log, snapshots restored past trimmed records, or a restart.
 */
class ConfigurationMonotonicTest {
  private static final int STEPS = 120;
  private static final int WRITERS = 3;

  private final ConfigurationLoader loader = new ConfigurationLoader();

  @Property(tries = 60, seed = "71")
  void versionInForceNeverDecreases(@ForAll long seed) {
    Random random = new Random(seed);
    List<RecordEnvelope> log = new ArrayList<>();
    CellState newest = new CellState();
    Map<Long, CellSnapshot> snapshots = new HashMap<>();
    Reader reader = new Reader(new CellState());
    long highest = 0;
    for (int i = 0; i < STEPS; i++) {
      append(log, newest, random);
      if (random.nextInt(10) == 0) {
        snapshots.put(newest.nextOffset(), newest.snapshot());
      }
      switch (random.nextInt(8)) {
        case 0 -> reader = restartReader(log, snapshots, reader);
        case 1 -> reader.restoreSnapshotUpTo(snapshots, newest.nextOffset());
        default -> reader.read(log, random.nextInt(4));
      }
      long inForce = reader.version();
      assertThat(inForce).isGreaterThanOrEqualTo(highest);
      highest = inForce;
    }
    reader.read(log, log.size());
    assertThat(reader.version()).isEqualTo(newest.configuration().version());
    assertThat(reader.inForce.current().text()).isEqualTo(newest.configuration().document());
  }

  private void append(List<RecordEnvelope> log, CellState newest, Random random) {
    boolean copy = !log.isEmpty() && random.nextInt(3) == 0;
    RecordEnvelope envelope =
        copy ? log.get(random.nextInt(log.size())) : change(newest, log.size(), random);
    log.add(envelope);
    newest.apply(log.size(), envelope);
  }

  private static RecordEnvelope change(CellState newest, int number, Random random) {
    List<ConfigurationEntry> kept = newest.configurations();
    boolean late = !kept.isEmpty() && random.nextInt(3) == 0;
    long base =
        late ? kept.get(random.nextInt(kept.size())).version() : newest.configuration().version();
    String document = "{\"defaults\":{\"routing\":{\"queueLimit\":" + number + "}}}";
    return new RecordEnvelope(
        "h" + random.nextInt(WRITERS) + ":" + (number + 1),
        0,
        "h1",
        new CellRecord.ConfigurationChanged(base, document, "ana", "change " + number));
  }

  /** Returns a restarted reader, which has read at least the records that it knew before. */
  private Reader restartReader(
      List<RecordEnvelope> log, Map<Long, CellSnapshot> snapshots, Reader before) {
    Reader reader = new Reader(new CellState());
    reader.restoreSnapshotUpTo(snapshots, before.state.nextOffset());
    reader.read(log, (int) (before.state.nextOffset() - reader.state.nextOffset()));
    return reader;
  }

  /** A host that applies the log to its own state. */
  private final class Reader {
    private CellState state;
    private final ConfigurationInForce inForce;

    Reader(CellState state) {
      this.state = state;
      this.inForce = new ConfigurationInForce(view(), new ManualTimerService(0), loader);
    }

    long version() {
      return inForce.current().version();
    }

    void read(List<RecordEnvelope> log, int count) {
      for (int i = 0; i < count && state.nextOffset() <= log.size(); i++) {
        long offset = Math.max(1, state.nextOffset());
        state.apply(offset, log.get((int) offset - 1));
        version();
      }
    }

    void restoreSnapshotUpTo(Map<Long, CellSnapshot> snapshots, long limit) {
      snapshots.keySet().stream()
          .filter(offset -> offset <= limit && offset >= state.nextOffset())
          .max(Long::compare)
          .ifPresent(offset -> state = CellState.restore(snapshots.get(offset)));
    }

    private static CellView.ConfigurationVersion toView(ConfigurationEntry entry) {
      return new CellView.ConfigurationVersion(
          entry.version(), entry.document(), entry.author(), entry.reason());
    }

    private CellView view() {
      return (CellView)
          Proxy.newProxyInstance(
              CellView.class.getClassLoader(),
              new Class<?>[] {CellView.class},
              (proxy, method, arguments) ->
                  switch (method.getName()) {
                    case "configurationVersion" -> state.configuration().version();
                    case "configurationHistory" ->
                        state.configurations().stream().map(Reader::toView).toList();
                    case "configuration" ->
                        state.configuration((long) arguments[0]).map(Reader::toView);
                    default -> throw new UnsupportedOperationException(method.getName());
                  });
    }
  }
}
