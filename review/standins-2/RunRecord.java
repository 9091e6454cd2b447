package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Record of one run: what was sent, answered and run, one line each, in the order of events. */
final class RunRecord implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;
  private final List<String> broken = new ArrayList<>();

  RunRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  /** Returns the time since the start of the run, in milliseconds. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void log(String format, Object... values) {
    out.printf("%6d ", millis());
    out.println(String.format(format, values));
  }

  /** Records that a rule was broken. */
  synchronized void broken(String format, Object... values) {
    String what = String.format(format, values);
    broken.add(what);
    log("BROKEN %s", what);
  }

  /** Writes the verdict and returns the exit code: 1 if a rule was broken, else 0. */
  synchronized int verdict() {
    log("verdict: %s", broken.isEmpty() ? "the rule held" : "rule broken " + broken.size() + " times");
    System.out.println(broken.isEmpty() ? "the rule held" : "rule broken: " + broken.getFirst());
    return broken.isEmpty() ? 0 : 1;
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
