package nettletrail.core;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.Consumer;
import nettletrail.decision.Gateway;
import nettletrail.decision.GatewaySettingsReader;

/**
 * Which other front doors there are, as far as this one can know. Two questions with two answers, and whoever asks names
 * which: {@link Listener#presumedFailed} comes within seconds and may be wrong (a pause, a cut), good for routing and
 * hints; {@link Listener#removedByMajority} comes once a majority of the last agreed view has agreed on a view without
 * that life, and is what anybody may act on in its place. A minority never hears the second. All on the front door's
 * event loop.
 *
 * <p>Nothing here may loosen a ceiling: fewer members seen than there are must let no more through in sum.
 */
public interface Membership {
    /** This front door knows of nobody. */
    Membership NONE = new Membership() { };

    /** Makes one; it begins its work at once. */
    interface Factory {
        /**
         * @param name this front door's, unique in the installation
         * @param loop the front door's, on which listeners are told
         * @throws IllegalArgumentException if it can't with these settings; the message names the key
         */
        Membership create(String name, EventLoop loop, GatewaySettingsReader reader, Gateway.Settings settings);
    }

    /**
     * One life of a front door's name: a process, or its time between two agreed views that it wasn't in.
     *
     * @param number higher than that of any life of this name before
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
     * A set of lives that a majority of the one before it has agreed on.
     *
     * @param number higher than that of any agreed before; 0 for none yet
     * @param incarnations in their order
     */
    record View(long number, List<MemberIncarnation> incarnations) {
        /** None was agreed yet. */
        public static final View NONE = new View(0, List.of());

        public View {
            incarnations = List.copyOf(incarnations);
        }

        /** Whether it holds this life. */
        public boolean contains(MemberIncarnation life) {
            return incarnations.contains(life);
        }

        /** How many of its lives must agree on what follows. */
        public int majority() {
            return incarnations.size() / 2 + 1;
        }
    }

    /** Hears of members; each may be called again for the same life. */
    interface Listener {
        /** There is a life that wasn't known. */
        default void joined(MemberIncarnation who) { }

        /** It is accused and may still answer. */
        default void suspected(MemberIncarnation who) { }

        /** Likely gone: quick, may be wrong. */
        default void presumedFailed(MemberIncarnation who) { }

        /** Surely gone as far as anybody may act for it: agreed by a majority. */
        default void removedByMajority(MemberIncarnation who) { }

        /** One that was suspect or likely gone is there. */
        default void recovered(MemberIncarnation who) { }

        /** It said that it leaves. */
        default void left(MemberIncarnation who) { }

        /** A view was agreed that this front door is in, or it is in none any more ({@link View#NONE}). */
        default void viewChanged(View now) { }
    }

    /** This front door's own life now; null where there are no members. */
    default MemberIncarnation self() {
        return null;
    }

    /** From now on it is told; first of all that is known already. */
    default void addListener(Listener listener) { }

    /** Calls to them. */
    default DoorCalls doorCalls() {
        return DoorCalls.NONE;
    }

    /** What is known, as JSON values, given to this on the front door's loop, soon. */
    default void status(Consumer<Object> to) {
        to.accept(List.of());
    }

    /** This front door ends: it says so to the others. Off the event loop; returns when it is said. */
    default void leave() { }

    /** Ends its work; on the event loop or off it. */
    default void close() { }
}
