package nettletrail.control;

import java.util.Map;
import java.util.TreeMap;

/** Delivers the messages from one process to another in order, whatever their delays. */
final class ArrivalOrder {
  private final Map<String, Long> newest = new TreeMap<>();

  /** When a message arrives that would do so at {@code earliest}: after all sent before it. */
  long next(String from, String to, long earliest) {
    String direction = from + ">" + to;
    long arrival = Math.max(earliest, newest.getOrDefault(direction, 0L) + 1);
    newest.put(direction, arrival);
    return arrival;
  }
}
