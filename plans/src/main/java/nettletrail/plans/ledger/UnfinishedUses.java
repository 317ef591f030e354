package nettletrail.plans.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Uses of which the ledger has no outcome. A process that takes a ledger over ends them: the front
 * door died between sending a request and its response, so the outcome will never be known.
 */
public final class UnfinishedUses {
  /** What is billed for a use whose outcome is unknown. */
  public enum Rule {
    /** Nothing: operators settle it by the backends' records, if at all. */
    NOTHING,
    /** The client's estimate. */
    GUESS;

    long milli(Entry.Use use) {
      return this == GUESS ? use.guessMilli() : 0;
    }
  }

  private final Map<Long, Entry.Use> open = new LinkedHashMap<>();

  /** Takes in an entry; to be called with all entries in their order. */
  public void add(Entry entry) {
    Entry.Event what = entry.event();
    if (what instanceof Entry.Sent sent) {
      open.put(entry.sequence(), sent.use());
    } else if (what instanceof Entry.Used used) {
      open.remove(used.sent());
    } else if (what instanceof Entry.Unknown unknown) {
      open.remove(unknown.sent());
    } else if (what instanceof Entry.Unused unused) {
      open.remove(unused.sent());
    }
  }

  /** How many uses have no outcome. */
  public int size() {
    return open.size();
  }

  /** The entries that end them all. */
  public List<Entry.Event> closingEntries(String why, Rule rule) {
    List<Entry.Event> ends = new ArrayList<>();
    open.forEach((sent, use) -> ends.add(new Entry.Unknown(sent, use, why, rule.milli(use))));
    return ends;
  }
}
