package org.vanillacove.daemon.system;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Starts three entry hosts as processes before each test and kills them after it.
 *
 * <p>Settings and logs of the processes stay in {@code target/host-processes}.
 */
final class RunningCellExtension implements BeforeEachCallback, AfterEachCallback {
  /** Entry hosts, one in each region. */
  static final int HOSTS = 3;

  private static final Path LOGS = Path.of("target", "host-processes");

  private HostProcesses cell;
  private CellSteps steps;

  @Override
  public void beforeEach(ExtensionContext context) throws IOException {
    Path directory = LOGS.resolve(context.getRequiredTestMethod().getName());
    Files.createDirectories(directory);
    cell = new HostProcesses(HOSTS, directory.toAbsolutePath());
    steps = new CellSteps(cell);
    steps.awaitReady();
  }

  @Override
  public void afterEach(ExtensionContext context) {
    if (cell != null) {
      cell.close();
    }
  }

  /** Returns the host processes and their simulated platform. */
  HostProcesses cell() {
    return cell;
  }

  /** Returns the steps and checks for the host processes. */
  CellSteps steps() {
    return steps;
  }
}
