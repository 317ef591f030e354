package nettletrail.plans;

import java.util.ArrayList;
import java.util.List;

/**
 * One customer's plans, each with the instant from which it holds. The past is never rewritten:
 * what is charged was charged under the plan in force when its request was accepted.
 *
 * <p>Changes may come late, twice and out of order. Each has a number of its own, given by whoever
 * decides on tariffs; among those for one customer the numbers rise with the decision, not with the
 * instant. At one instant the later decision holds (the higher number), whichever came here first;
 * at other instants what was announced stays as it was announced.
 */
public final class Timeline {
  /**
   * A plan from an instant on.
   *
   * @param number of the decision; 1 or more, unique for the customer
   * @param fromMs Unix time, ms
   * @param plan its name
   * @param author who decided
   */
  public record Change(long number, long fromMs, String plan, String author) {
    public Change {
      if (number < 1 || plan.isEmpty() || author.isEmpty()) {
        throw new IllegalArgumentException(
            "Change: number must be 1 or more, plan and author be named");
      }
    }
  }

  /** What came of a change. */
  public enum Answer {
    /** It will hold from its instant on. */
    TAKEN,
    /** The same was here before. */
    KNOWN,
    /** This number was here with another plan or instant: its sender is at fault. */
    CONTRADICTS,
    /** Its instant is past by more than the way here explains: a correction is a credit line. */
    RETROACTIVE,
    /** A later decision is here for the same instant. */
    OVERRULED,
    /** No plan of that name is known here. */
    UNKNOWN_PLAN,
    /** More are announced than are kept. */
    TOO_MANY
  }

  private static final int MOST = 64;

  /**
   * By instant; at one instant the highest number only. The first has been in force from the
   * beginning.
   */
  private final List<Change> changes = new ArrayList<>();

  /** Numbers heard of, with what they said, so that a repeat is told from a contradiction. */
  private final List<Change> heard = new ArrayList<>();

  /**
   * @param first in force until the first change
   */
  public Timeline(String first) {
    changes.add(new Change(1, Long.MIN_VALUE, first, "settings"));
  }

  /**
   * Takes a change in.
   *
   * @param graceMs by how much its instant may be past: it holds from now on then, not before
   */
  public Answer change(long nowMs, Change change, long graceMs) {
    for (Change each : heard) {
      if (each.number() == change.number()) {
        return each.equals(change) ? Answer.KNOWN : Answer.CONTRADICTS;
      }
    }
    if (change.fromMs() < nowMs - graceMs) {
      return Answer.RETROACTIVE;
    }
    Change held =
        change.fromMs() < nowMs
            ? new Change(change.number(), nowMs, change.plan(), change.author())
            : change;
    for (int i = 1; i < changes.size(); i++) {
      Change there = changes.get(i);
      if (there.fromMs() == held.fromMs()) {
        if (there.number() > held.number()) {
          return Answer.OVERRULED;
        }
        changes.set(i, held);
        remember(change);
        return Answer.TAKEN;
      }
    }
    forgetPast(nowMs);
    if (changes.size() >= MOST) {
      return Answer.TOO_MANY;
    }
    int at = changes.size();
    while (at > 1 && changes.get(at - 1).fromMs() > held.fromMs()) {
      at--;
    }
    changes.add(at, held);
    remember(change);
    return Answer.TAKEN;
  }

  private void remember(Change change) {
    heard.add(change);
    if (heard.size() > MOST) {
      heard.remove(0);
    }
  }

  /** Only the one in force is of use among those that are past. */
  private void forgetPast(long nowMs) {
    while (changes.size() > 1 && changes.get(1).fromMs() <= nowMs) {
      changes.remove(0);
    }
  }

  /**
   * The change whose plan is in force at this instant; one that was forgotten is not found, but the
   * oldest kept is.
   */
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

  /** Those in force and to come. */
  public List<Change> changes() {
    return List.copyOf(changes);
  }
}
