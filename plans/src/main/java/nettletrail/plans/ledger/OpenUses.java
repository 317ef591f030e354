package nettletrail.plans.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Uses that were begun and have no end in the ledger. Who takes a ledger over ends them: its front
 * door died between sending a request and hearing of it, so nobody can know any more.
 */
public final class OpenUses {
  /** What is billed for a use of which nobody knows. */
  public enum Rule {
    /** Nothing: the operator's staff settle it by the backends' own ledgers, if at all. */
    NOTHING,
    /** What the client guessed. */
    GUESS;

    long milli(Entry.Use use) {
      return this == GUESS ? use.guessMilli() : 0;
    }
  }

  private final Map<Long, Entry.Use> open = new LinkedHashMap<>();

  /** Hears of each entry, in order. */
  public void add(Entry entry) {
    Entry.What what = entry.what();
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

  /** How many there are. */
  public int size() {
    return open.size();
  }

  /** What ends them all. */
  public List<Entry.What> ends(String why, Rule rule) {
    List<Entry.What> ends = new ArrayList<>();
    open.forEach((sent, use) -> ends.add(new Entry.Unknown(sent, use, why, rule.milli(use))));
    return ends;
  }
}
