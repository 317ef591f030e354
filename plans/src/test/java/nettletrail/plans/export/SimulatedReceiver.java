package nettletrail.plans.export;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.plans.export.ExportDecider.Batch;
import nettletrail.plans.ledger.Line;

/** How the receiver accepts batches; a test may break it. */
class SimulatedReceiver {
  long end;

  /** What each line was billed with, each time, by its sequence. */
  final Map<Long, List<Long>> billed = new LinkedHashMap<>();

  /** Accepts what follows its end; returns the end that it has then. */
  long take(Batch batch, List<Line> lines) {
    if (batch.before() <= end && batch.to() > end) {
      lines.stream()
          .filter(line -> line.sequence() > end)
          .forEach(
              line ->
                  billed
                      .computeIfAbsent(line.sequence(), name -> new ArrayList<>())
                      .add(line.milli()));
      end = batch.to();
    }
    return end;
  }

  /** Another one of the same kind, which has received nothing. */
  SimulatedReceiver anew() {
    return new SimulatedReceiver();
  }

  long units() {
    return billed.values().stream().flatMap(List::stream).mapToLong(Long::longValue).sum();
  }

  /** One that ignores its end: what comes again is added again. */
  static final class AddsAll extends SimulatedReceiver {
    @Override
    long take(Batch batch, List<Line> lines) {
      long before = end;
      end = Math.min(end, batch.from() - 1);
      super.take(batch, lines);
      end = Math.max(end, before);
      return end;
    }

    @Override
    SimulatedReceiver anew() {
      return new AddsAll();
    }
  }
}
