package org.vanillacove.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** Registry of all commands. */
final class CommandTable {
  /** Commands by name, in the order in which help lists them. */
  private static final Map<String, Entry> COMMANDS = new LinkedHashMap<>();

  static {
    add("job submit", "submit a job", JobCommands.Submit::new);
    add("job list", "list jobs", JobCommands.ListJobs::new);
    add("job show", "show a job and its tasks", JobCommands.Show::new);
    add("job cancel", "cancel a job", JobCommands.Cancel::new);
    add("job wait", "wait until a job ends or a service is running", JobCommands.Wait::new);
    add("worker list", "list workers", CellCommands.ListWorkers::new);
    add(
        "worker drain",
        "stop assigning new tasks to a worker",
        () -> new CellCommands.ChangeWorker("draining"));
    add(
        "worker activate",
        "resume assigning new tasks to a worker",
        () -> new CellCommands.ChangeWorker("active"));
    add("cell status", "show the status of the cell", CellCommands.Status::new);
    add("cell declare-lost", "declare a region or zone lost", CellCommands.DeclareLost::new);
    add("config show", "show the configuration", ConfigurationCommands.Show::new);
    add("config put", "put a configuration document in force", ConfigurationCommands.Put::new);
    add(
        "config check",
        "validate a configuration document offline",
        ConfigurationCommands.Check::new);
    add("config history", "list configuration versions", ConfigurationCommands.History::new);
    add("config diff", "compare two configuration versions", ConfigurationCommands.Diff::new);
    add(
        "config rollback",
        "put an earlier version in force again",
        ConfigurationCommands.Rollback::new);
    add("exception list", "list exceptions", ExceptionCommands.ListExceptions::new);
    add("exception add", "add an exception", ExceptionCommands.Add::new);
    add("exception remove", "remove an exception", ExceptionCommands.Remove::new);
    add("timeline", "show the events of all hosts", TimelineCommand::new);
    add("token create", "generate a token and its settings entry", TokenCommand::new);
    add("completion bash", "print completion for bash", CompletionCommand::new);
  }

  private CommandTable() {}

  /**
   * A registered command.
   *
   * @param name words that select the command, separated by spaces
   * @param summary one-line description for help
   * @param factory creates an instance to parse arguments into
   */
  record Entry(String name, String summary, Supplier<Command> factory) {}

  /** Returns all commands. */
  static List<Entry> all() {
    return List.copyOf(COMMANDS.values());
  }

  /** Returns the command whose name is a prefix of {@code words}. */
  static Optional<Entry> find(List<String> words) {
    return COMMANDS.values().stream()
        .filter(entry -> startsWith(words, List.of(entry.name().split(" ", -1))))
        .findFirst();
  }

  /** Returns the commands of a group, which is their first word. */
  static List<Entry> group(String group) {
    return COMMANDS.values().stream()
        .filter(entry -> entry.name().startsWith(group + " "))
        .toList();
  }

  private static boolean startsWith(List<String> words, List<String> prefix) {
    return words.size() >= prefix.size() && words.subList(0, prefix.size()).equals(prefix);
  }

  private static void add(String name, String summary, Supplier<Command> factory) {
    COMMANDS.put(name, new Entry(name, summary, factory));
  }
}
