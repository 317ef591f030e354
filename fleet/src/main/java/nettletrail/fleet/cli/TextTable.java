package nettletrail.fleet.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints objects with the same fields as the rows of a table. */
final class TextTable {
  private static final String COLUMN_GAP = "  ";
  private static final String EMPTY_CELL = "-";

  private TextTable() {}

  /** Prints a table whose header has the names of the fields, or a note if there are no rows. */
  static void print(List<JsonObject> rows, PrintStream out) {
    if (rows.isEmpty()) {
      out.println("(none)");
      return;
    }
    List<List<String>> lines = new ArrayList<>();
    lines.add(rows.get(0).names());
    for (JsonObject row : rows) {
      lines.add(row.texts().stream().map(TextTable::cell).toList());
    }
    int[] widths = columnWidths(lines);
    lines.forEach(line -> out.println(format(line, widths)));
  }

  private static String cell(String text) {
    return text.isEmpty() ? EMPTY_CELL : text;
  }

  private static String format(List<String> line, int[] widths) {
    StringBuilder text = new StringBuilder();
    for (int column = 0; column < line.size(); column++) {
      text.append(String.format("%-" + widths[column] + "s", line.get(column))).append(COLUMN_GAP);
    }
    return text.toString().stripTrailing();
  }

  private static int[] columnWidths(List<List<String>> lines) {
    int[] widths = new int[lines.get(0).size()];
    for (List<String> line : lines) {
      for (int column = 0; column < Math.min(widths.length, line.size()); column++) {
        widths[column] = Math.max(widths[column], line.get(column).length());
      }
    }
    return widths;
  }
}
