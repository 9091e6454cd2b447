package org.vanillacove.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.vanillacove.bench.config.ConfigBench;
import org.vanillacove.bench.control.ControlBench;
import org.vanillacove.bench.faults.FaultsBench;
import org.vanillacove.bench.peer.PeerBench;
import org.vanillacove.bench.placement.PlacementBench;
import org.vanillacove.bench.policy.PolicyBench;
import org.vanillacove.bench.recovery.RecoveryBench;
import org.vanillacove.bench.route.RouteBench;
import org.vanillacove.bench.waiting.WaitBench;

/** Runs a bench by name and prints its figures as one JSON object. */
public final class BenchMain {
  /** Constructors of all benches, by the name given on the command line. */
  private static final Map<String, Supplier<Bench>> BENCHES = new TreeMap<>();

  static {
    BENCHES.put("control", ControlBench::new);
    BENCHES.put("peer", PeerBench::new);
    BENCHES.put("config", ConfigBench::new);
    BENCHES.put("faults", FaultsBench::new);
    BENCHES.put("recovery", RecoveryBench::new);
    BENCHES.put("placement", PlacementBench::new);
    BENCHES.put("policy", PolicyBench::new);
    BENCHES.put("route", RouteBench::new);
    BENCHES.put("wait", WaitBench::new);
  }

  /** Name of the bench to run. */
  @Argument(required = true, metaVar = "NAME", usage = "name of the bench")
  private String name;

  /** Seed of all random numbers. */
  @Option(name = "--seed", metaVar = "N", usage = "seed of all random numbers")
  private long seed = 1;

  private BenchMain() {}

  /** Runs the bench named by the arguments; exits with 2 if they are not valid. */
  public static void main(String[] arguments) throws Exception {
    BenchMain main = new BenchMain();
    CmdLineParser parser = new CmdLineParser(main);
    int code = 2;
    try {
      parser.parseArgument(arguments);
      code = main.run();
    } catch (CmdLineException e) {
      System.err.println("error: " + e.getMessage() + "; benches: " + BENCHES.keySet());
    }
    System.exit(code);
  }

  private int run() throws Exception {
    Supplier<Bench> bench = BENCHES.get(name);
    if (bench == null) {
      System.err.println("error: no bench " + name + "; benches: " + BENCHES.keySet());
      return 2;
    }
    Map<String, Object> figures = bench.get().run(seed);
    System.out.println(new ObjectMapper().writeValueAsString(figures));
    return 0;
  }
}
