package nettletrail.plans;

import java.util.ArrayList;
import java.util.List;

/**
 * One customer's plans, each with the instant from which it applies. The past is never rewritten: a
 * charge was made under the plan that applied when its request was accepted.
 *
 * <p>Changes may come late, twice and out of order. Each has a number; among those of one customer
 * numbers increase with the decision, not with the instant. Of two changes for one instant the one
 * with the higher number applies, whichever arrived first.
 */
public final class Timeline {
  /**
   * A plan that applies from an instant on.
   *
   * @param number of the decision, at least 1, unique for the customer
   * @param fromMs Unix time, ms
   * @param plan its name
   * @param author who made the decision
   */
  public record Change(long number, long fromMs, String plan, String author) {
    /** Checks the values. */
    public Change {
      if (number < 1 || plan.isEmpty() || author.isEmpty()) {
        throw new IllegalArgumentException(
            "Change: number must be 1 or more, plan and author be named");
      }
    }
  }

  /** What came of a change. */
  public enum ChangeResult {
    /** It applies from its instant on. */
    ACCEPTED,
    /** The same change was received before. */
    DUPLICATE,
    /** The number was received before with another plan or instant: an error of the sender. */
    CONFLICTING,
    /** Its instant is further in the past than the grace period: use a credit instead. */
    RETROACTIVE,
    /** A later decision for the same instant is known. */
    SUPERSEDED,
    /** There is no plan of that name. */
    UNKNOWN_PLAN,
    /** There are more than can be kept. */
    TOO_MANY
  }

  private static final int MAX_CHANGES = 64;

  /** By instant; at one instant the highest number only. The first applies from the beginning. */
  private final List<Change> changes = new ArrayList<>();

  /** Changes that were received, so that a duplicate is distinguished from a conflict. */
  private final List<Change> seen = new ArrayList<>();

  /**
   * @param first the plan that applies until the first change
   */
  public Timeline(String first) {
    changes.add(new Change(1, Long.MIN_VALUE, first, "settings"));
  }

  /**
   * Takes in a change.
   *
   * @param graceMs by how much its instant may be in the past; it then applies from now on
   */
  public ChangeResult change(long nowMs, Change change, long graceMs) {
    for (Change each : seen) {
      if (each.number() == change.number()) {
        return each.equals(change) ? ChangeResult.DUPLICATE : ChangeResult.CONFLICTING;
      }
    }
    if (change.fromMs() < nowMs - graceMs) {
      return ChangeResult.RETROACTIVE;
    }
    Change effective =
        change.fromMs() < nowMs
            ? new Change(change.number(), nowMs, change.plan(), change.author())
            : change;
    for (int i = 1; i < changes.size(); i++) {
      Change there = changes.get(i);
      if (there.fromMs() == effective.fromMs()) {
        if (there.number() > effective.number()) {
          return ChangeResult.SUPERSEDED;
        }
        changes.set(i, effective);
        remember(change);
        return ChangeResult.ACCEPTED;
      }
    }
    dropPast(nowMs);
    if (changes.size() >= MAX_CHANGES) {
      return ChangeResult.TOO_MANY;
    }
    int at = changes.size();
    while (at > 1 && changes.get(at - 1).fromMs() > effective.fromMs()) {
      at--;
    }
    changes.add(at, effective);
    remember(change);
    return ChangeResult.ACCEPTED;
  }

  private void remember(Change change) {
    seen.add(change);
    if (seen.size() > MAX_CHANGES) {
      seen.remove(0);
    }
  }

  /** Of past changes only the one that applies is kept. */
  private void dropPast(long nowMs) {
    while (changes.size() > 1 && changes.get(1).fromMs() <= nowMs) {
      changes.remove(0);
    }
  }

  /** The change whose plan applies at this instant, or the oldest one that is kept. */
  public Change at(long ms) {
    Change in = changes.get(0);
    for (Change each : changes) {
      in = each.fromMs() <= ms ? each : in;
    }
    return in;
  }

  /** When the next change is due after this instant; {@link Long#MAX_VALUE} for none. */
  public long nextAfter(long ms) {
    for (Change each : changes) {
      if (each.fromMs() > ms) {
        return each.fromMs();
      }
    }
    return Long.MAX_VALUE;
  }

  /** The change that applies and all future ones. */
  public List<Change> changes() {
    return List.copyOf(changes);
  }
}
