package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Records all runs and checks the rules on starts, from what the workers see. */
final class RunLog implements WorkerStandin.Observer {
  /** A start of a task after one of its runs ended done. */
  private record LateStart(String task, int run, String worker, String doneRun) {}

  private final Deployment deployment;
  private final boolean verbose;
  private final Map<String, Map<String, String>> active = new HashMap<>();
  private final Map<String, String> done = new HashMap<>();
  private final Set<String> notedDone = new HashSet<>();
  private final List<LateStart> lateStarts = new ArrayList<>();
  private final List<String> overlaps = new ArrayList<>();
  private final List<String> overCapacity = new ArrayList<>();
  private final Map<String, String> requiredKinds = new HashMap<>();
  private final List<String> wrongKind = new ArrayList<>();
  private int starts;
  private int ends;
  private int notedEnds;

  RunLog(Deployment deployment, boolean verbose) {
    this.deployment = deployment;
    this.verbose = verbose;
  }

  @Override
  public synchronized void started(WorkerStandin worker, String task, int run) {
    starts++;
    if (verbose) {
      deployment.note(
          "start  %s run %d on %s: %d of %d thousandths of a core used",
          task, run, worker.id, worker.usedCpu(), worker.cpu());
    }
    Map<String, String> runs = active.computeIfAbsent(task, key -> new HashMap<>());
    if (!runs.isEmpty()) {
      overlaps.add(task + " run " + run + " on " + worker.id + " beside " + runs);
      deployment.note("TWICE  %s", overlaps.getLast());
    }
    if (done.containsKey(task)) {
      lateStarts.add(new LateStart(task, run, worker.id, done.get(task)));
      if (lateStarts.size() <= 20) {
        deployment.note("start after done: %s", lateStarts.getLast());
      }
    }
    if (worker.usedCpu() > worker.cpu()) {
      overCapacity.add(
          "%s run %d on %s: %d of %d"
              .formatted(task, run, worker.id, worker.usedCpu(), worker.cpu()));
      deployment.note("LIMIT  %s", overCapacity.getLast());
    }
    String kind = requiredKinds.getOrDefault(task.split("\\.")[0], worker.kind());
    if (!kind.equals(worker.kind())) {
      wrongKind.add(task + " run " + run + " on " + worker.id);
      deployment.note(
          "ROUTE  %s, which is of kind %s, not %s", wrongKind.getLast(), worker.kind(), kind);
    }
    runs.put(run + "@" + worker.id, "run " + run + " on " + worker.id);
  }

  @Override
  public synchronized void ended(WorkerStandin worker, String task, int run, String how) {
    if (verbose) {
      deployment.note("end    %s run %d on %s: %s", task, run, worker.id, how);
    }
    ends++;
    active.getOrDefault(task, new HashMap<>()).remove(run + "@" + worker.id);
    if (how.equals("done")) {
      done.putIfAbsent(task, "run " + run + " on " + worker.id);
    }
  }

  @Override
  public synchronized void noted(WorkerStandin worker, String task, int run, String how) {
    notedEnds++;
    if (how.equals("done")) {
      notedDone.add(task + " run " + run + " on " + worker.id);
    }
  }

  /** Returns starts of a task beside another run of it. */
  synchronized List<String> overlaps() {
    return List.copyOf(overlaps);
  }

  /** Returns starts that brought a worker over its capacity. */
  synchronized List<String> overCapacity() {
    return List.copyOf(overCapacity);
  }

  /** Names the kind of worker that all tasks of a job require by their label. */
  synchronized void requireKind(String job, String kind) {
    requiredKinds.put(job, kind);
  }

  /** Returns starts on a worker without the required label. */
  synchronized List<String> wrongKind() {
    return List.copyOf(wrongKind);
  }

  /** Returns the number of starts after an end as done of which note was taken. */
  synchronized long startsAfterNotedDone() {
    return lateStarts.stream()
        .filter(late -> notedDone.contains(late.task() + " " + late.doneRun()))
        .count();
  }

  /** Returns the number of ends that workers have listed. */
  synchronized int ends() {
    return ends;
  }

  /** Returns the number of ends that were listed and not taken note of. */
  synchronized int unnotedEnds() {
    return ends - notedEnds;
  }

  synchronized int starts() {
    return starts;
  }

  synchronized int doneTasks() {
    return done.size();
  }
}
