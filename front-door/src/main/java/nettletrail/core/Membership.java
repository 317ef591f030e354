package nettletrail.core;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.Consumer;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * The other front doors, as far as this one can know them. There are two levels of failure
 * detection, and a caller chooses one: {@link Listener#presumedFailed} comes within seconds and may
 * be wrong (a pause, a network partition), which is good enough for routing and hints; {@link
 * Listener#removedByMajority} comes once a majority of the last agreed view has agreed on a view
 * without that incarnation, and only then may another act in its place. A minority never sees the
 * second. Runs on the front door's event loop.
 *
 * <p>Nothing here may relax a rate limit: seeing fewer members than exist must not admit more
 * requests in total.
 */
public interface Membership {
  /** Knows no other front door. */
  Membership NONE = new Membership() {};

  /** Creates a membership, which starts at once. */
  interface Factory {
    /**
     * @param name the front door's name, unique in the installation
     * @param loop the front door's event loop, on which listeners are called
     * @throws IllegalArgumentException if the settings are unusable; the message names the key
     */
    Membership create(
        String name, EventLoop loop, GatewaySettingsReader reader, Gateway.Settings settings);
  }

  /**
   * One incarnation of a front door: a process, or its time between two agreed views that lack it.
   *
   * @param number higher than in any earlier incarnation of this name
   */
  record MemberIncarnation(String name, long number) implements Comparable<MemberIncarnation> {
    @Override
    public int compareTo(MemberIncarnation other) {
      int names = name.compareTo(other.name);
      return names != 0 ? names : Long.compare(number, other.number);
    }

    @Override
    public String toString() {
      return name + "/" + Long.toHexString(number);
    }
  }

  /**
   * A set of incarnations that a majority of the previous view has agreed on.
   *
   * @param number higher than that of any earlier view; 0 for none yet
   * @param incarnations sorted
   */
  record View(long number, List<MemberIncarnation> incarnations) {
    /** No view has been agreed yet. */
    public static final View NONE = new View(0, List.of());

    public View {
      incarnations = List.copyOf(incarnations);
    }

    /** Whether the view contains this incarnation. */
    public boolean contains(MemberIncarnation life) {
      return incarnations.contains(life);
    }

    /** Number of incarnations that must agree on the next view. */
    public int majority() {
      return incarnations.size() / 2 + 1;
    }
  }

  /** Receives membership events; each may be repeated for the same incarnation. */
  interface Listener {
    /** A new incarnation was seen. */
    default void joined(MemberIncarnation who) {}

    /** It was accused of having failed, and may still refute that. */
    default void suspected(MemberIncarnation who) {}

    /** Presumed to have failed: quick, may be wrong. */
    default void presumedFailed(MemberIncarnation who) {}

    /** Removed from the view by a majority: others may act in its place. */
    default void removedByMajority(MemberIncarnation who) {}

    /** A suspected or presumed failed incarnation is alive. */
    default void recovered(MemberIncarnation who) {}

    /** It announced that it leaves. */
    default void left(MemberIncarnation who) {}

    /** A view with this front door was agreed, or it is in no view any more ({@link View#NONE}). */
    default void viewChanged(View now) {}
  }

  /** This front door's current incarnation; null without a membership. */
  default MemberIncarnation self() {
    return null;
  }

  /** Adds a listener; it first receives what is already known. */
  default void addListener(Listener listener) {}

  /** Remote calls to the members. */
  default DoorCalls doorCalls() {
    return DoorCalls.NONE;
  }

  /** Passes the membership state as JSON values to the consumer, soon, on the front door's loop. */
  default void status(Consumer<Object> to) {
    to.accept(List.of());
  }

  /**
   * Announces to the others that this front door leaves. Called off the event loop; returns once it
   * is announced.
   */
  default void leave() {}

  /** Stops the membership. Any thread. */
  default void close() {}
}
