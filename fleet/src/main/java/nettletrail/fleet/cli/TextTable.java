package nettletrail.fleet.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Prints rows with the same fields as columns under the fields' names. */
final class TextTable {
  private static final String GAP = "  ";

  private TextTable() {}

  /** Prints nothing but a note if there are no rows. */
  static void print(List<Map<String, Object>> rows, PrintStream out) {
    if (rows.isEmpty()) {
      out.println("(none)");
      return;
    }
    List<List<String>> lines = new ArrayList<>();
    lines.add(List.copyOf(rows.get(0).keySet()));
    for (Map<String, Object> row : rows) {
      lines.add(row.values().stream().map(TextTable::text).toList());
    }
    int[] widths = widths(lines);
    for (List<String> line : lines) {
      StringBuilder text = new StringBuilder();
      for (int column = 0; column < line.size(); column++) {
        text.append(String.format("%-" + widths[column] + "s", line.get(column))).append(GAP);
      }
      out.println(text.toString().stripTrailing());
    }
  }

  private static String text(Object value) {
    String text = value == null ? "" : value.toString();
    return text.isEmpty() ? "-" : text;
  }

  private static int[] widths(List<List<String>> lines) {
    int[] widths = new int[lines.get(0).size()];
    for (List<String> line : lines) {
      for (int column = 0; column < Math.min(widths.length, line.size()); column++) {
        widths[column] = Math.max(widths[column], line.get(column).length());
      }
    }
    return widths;
  }
}
