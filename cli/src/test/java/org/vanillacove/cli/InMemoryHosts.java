package org.vanillacove.cli;

import com.google.common.base.Joiner;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.vanillacove.coordination.api.CellView;
import org.vanillacove.coordination.api.Membership;
import org.vanillacove.coordination.configuration.ConfigurationService;
import org.vanillacove.coordination.operator.OperatorChannel;
import org.vanillacove.coordination.timeline.RingTimelineRecorder;
import org.vanillacove.coordination.timeline.TimelineService;
import org.vanillacove.protocol.settings.DaemonSettings.TokenSettings;
import org.vanillacove.standin.memory.MemoryPeerNetwork;
import org.vanillacove.state.api.HostSpec;
import org.vanillacove.transport.operator.OperatorDependencies;
import org.vanillacove.transport.operator.OperatorService;
import org.vanillacove.transport.operator.access.TokenAuthority;

/** Three hosts that serve the operator API over sockets on an in-memory cell, and a CLI. */
final class InMemoryHosts implements AutoCloseable {
  private static final long WALL_MILLIS = Instant.parse("2026-06-01T08:00:00Z").toEpochMilli();

  private final VirtualTimerService timer = new VirtualTimerService(WALL_MILLIS);
  private final InMemoryCell cell = new InMemoryCell(timer);
  private final MemoryPeerNetwork network = new MemoryPeerNetwork(timer, (from, to) -> 0);
  private final Map<String, Server> servers = new LinkedHashMap<>();
  private final Map<String, RingTimelineRecorder> recorders = new LinkedHashMap<>();
  private final Random random = new Random(7);
  private final Path directory;

  InMemoryHosts(Path directory, List<TokenSettings> tokens) {
    this.directory = directory;
    InMemoryCell.HOSTS.forEach(host -> start(host, tokens));
  }

  InMemoryCell cell() {
    return cell;
  }

  VirtualTimerService timer() {
    return timer;
  }

  MemoryPeerNetwork network() {
    return network;
  }

  RingTimelineRecorder recorder(String hostId) {
    return recorders.get(hostId);
  }

  /** Returns the operator port of a host. */
  int port(String hostId) {
    return servers.get(hostId).activeLocalPort();
  }

  /** Runs a command with the address of a host. */
  Result run(String hostId, String... words) {
    List<String> arguments = new ArrayList<>(List.of("--server", "127.0.0.1:" + port(hostId)));
    arguments.addAll(List.of(words));
    return runWithArguments(arguments);
  }

  /** Runs the command line with exactly these arguments. */
  Result runWithArguments(List<String> arguments) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    CliEnvironment environment =
        new CliEnvironment(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            () -> Instant.ofEpochMilli(timer.wallMillis()),
            random,
            directory,
            pause -> {
              timer.moveWall(pause);
              return true;
            });
    int code = new Vanillacove(environment).run(arguments);
    return new Result(
        code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }

  @Override
  public void close() {
    servers.values().forEach(Server::closeAsync);
  }

  private void start(HostSpec host, List<TokenSettings> tokens) {
    CellView view = cell.view(host.id());
    Membership membership = cell.membership(host);
    OperatorChannel channel = new OperatorChannel(network.link(host.id()), membership);
    RingTimelineRecorder recorder = new RingTimelineRecorder(host.id(), timer, 1_000);
    recorders.put(host.id(), recorder);
    ServerBuilder builder =
        Server.builder().http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    new OperatorService(
            new OperatorDependencies(
                view,
                cell,
                membership,
                new ConfigurationService(view, cell, channel, host.id(), timer),
                new TimelineService(recorder, channel),
                recorder,
                new PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                new TokenAuthority(tokens, timer, new SecureRandom()),
                () -> true))
        .addTo(builder);
    Server server = builder.build();
    server.start().join();
    servers.put(host.id(), server);
  }

  /** Result of a command. */
  record Result(int code, String out, String err) {
    /** Returns the command, its output and exit code in the format of approved files. */
    String transcript(String... words) {
      return "$ vanillacove "
          + Joiner.on(' ').join(words)
          + "\n"
          + out
          + err.replaceAll("(?m)^", "! ").replaceAll("(?m)^! $", "")
          + "exit "
          + code
          + "\n\n";
    }
  }
}
