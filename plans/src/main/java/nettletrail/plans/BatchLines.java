package nettletrail.plans;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import nettletrail.plans.export.ExportDecider.Batch;
import nettletrail.plans.ledger.Disk;
import nettletrail.plans.ledger.LedgerReader;
import nettletrail.plans.ledger.Line;

/**
 * The lines of batches to export: the newest ones from memory, others from disk. Not thread-safe.
 */
final class BatchLines {
  private final Disk disk;
  private final int maxLines;
  private final NavigableMap<Long, Line> newest = new TreeMap<>();

  /**
   * No line yet.
   *
   * @param maxLines how many are kept in memory
   */
  BatchLines(Disk disk, int maxLines) {
    this.disk = disk;
    this.maxLines = maxLines;
  }

  /** A line was confirmed; null for an entry without one. */
  void add(Line line) {
    if (line == null) {
      return;
    }
    newest.put(line.sequence(), line);
    if (newest.size() > maxLines) {
      newest.pollFirstEntry();
    }
  }

  /** The ledger was reclaimed: its lines are added again. */
  void clear() {
    newest.clear();
  }

  /** The lines of a batch, in order. */
  List<Line> of(Batch batch) throws IOException {
    if (!newest.isEmpty() && newest.firstKey() <= batch.from()) {
      return List.copyOf(newest.subMap(batch.from(), true, batch.to(), true).values());
    }
    List<Line> read = new ArrayList<>();
    LedgerReader.read(
        disk,
        entry -> {
          boolean inBatch = entry.sequence() >= batch.from() && entry.sequence() <= batch.to();
          Line line = inBatch ? Line.of(entry) : null;
          if (line != null) {
            read.add(line);
          }
        });
    return read;
  }
}
