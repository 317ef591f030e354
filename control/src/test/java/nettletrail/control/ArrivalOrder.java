package nettletrail.control;

import java.util.Map;
import java.util.TreeMap;

/** Keeps the messages from one process to another in order, whatever their delays. */
final class ArrivalOrder {
  private final Map<String, Long> newest = new TreeMap<>();

  /** When a message arrives that would do so at {@code earliest}: after all sent before it. */
  long next(String from, String to, long earliest) {
    String way = from + ">" + to;
    long arrival = Math.max(earliest, newest.getOrDefault(way, 0L) + 1);
    newest.put(way, arrival);
    return arrival;
  }
}
