package org.vanillacove.review3;

import java.nio.file.Path;

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run. */
interface Case {
  int HELD = 0;
  int BROKEN = 1;
  int NOT_RUN = 2;

  /** Returns the exit status; {@code trouble} tells whether the disruption takes place. */
  int run(Cell cell, boolean trouble) throws Exception;

  /** Runs {@code each}; arguments are the repository, the record file and 0 for no disruption. */
  static void main(String[] args, Case each) {
    int status = NOT_RUN;
    try (Journal journal = new Journal(Path.of(args[1]))) {
      try (Cell cell = new Cell(Path.of(args[0]), journal)) {
        status = each.run(cell, !args[2].equals("0"));
      } catch (Exception e) {
        status = NOT_RUN;
        journal.note("the case could not run: " + e);
      }
      journal.note("exit " + status);
    } catch (Exception e) {
      status = NOT_RUN;
      e.printStackTrace();
    }
    System.exit(status);
  }
}
