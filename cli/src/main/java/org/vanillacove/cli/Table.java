package org.vanillacove.cli;

import com.google.common.base.Ascii;
import com.google.common.base.Strings;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints rows in columns that fit into 80 characters; the first column is never truncated. */
final class Table {
  /** Width of a terminal in characters. */
  private static final int WIDTH = 80;

  /** Characters between two columns. */
  private static final int GAP = 2;

  /** Minimum width of a truncated column, in characters. */
  private static final int MIN_COLUMN = 6;

  /** Rows, starting with the heading. */
  private final List<List<String>> rows = new ArrayList<>();

  /** Creates a table with a heading. */
  Table(String... heading) {
    rows.add(List.of(heading));
  }

  /** Adds a row with as many cells as the heading has. */
  void add(Object... cells) {
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      row.add(String.valueOf(cell));
    }
    rows.add(row);
  }

  /** Prints all rows. */
  void print(PrintStream out) {
    int[] widths = widths();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < row.size(); i++) {
        String cell = Ascii.truncate(row.get(i), widths[i], "~");
        line.append(Strings.padEnd(cell, widths[i] + GAP, ' '));
      }
      out.println(line.toString().stripTrailing());
    }
  }

  private int[] widths() {
    int[] widths = new int[rows.getFirst().size()];
    for (List<String> row : rows) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    int excess = -WIDTH - GAP;
    for (int width : widths) {
      excess += width + GAP;
    }
    while (excess > 0 && shrinkWidest(widths)) {
      excess--;
    }
    return widths;
  }

  private static boolean shrinkWidest(int[] widths) {
    int widest = 1;
    for (int i = 2; i < widths.length; i++) {
      if (widths[i] > widths[widest]) {
        widest = i;
      }
    }
    if (widths[widest] <= MIN_COLUMN) {
      return false;
    }
    widths[widest]--;
    return true;
  }
}
