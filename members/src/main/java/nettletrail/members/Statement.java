package nettletrail.members;

import nettletrail.core.Membership.MemberIncarnation;

/**
 * What is said of one life of a name. Of two about one name the one that {@link #overrides} the other is believed, so that
 * all who hear the same statements, in whatever order and however often, believe the same.
 *
 * @param incarnation raised by the accused only, to refute: an accusation of an older incarnation is void
 * @param address IP:PORT, for datagrams and connections alike
 * @param cut it gets no answer from anyone; only it says so of itself
 * @param by name of who accuses it, "" if nobody does
 */
public record Statement(MemberIncarnation who, int incarnation, State state, String address, boolean cut, String by) {
    /** In the order of what wins at one incarnation. */
    public enum State { ALIVE, SUSPECT, GONE, LEFT }

    /** Tags and lengths of its fields on the wire, at most. */
    private static final int OVERHEAD = 32;

    /** Its own word. */
    static Statement alive(MemberIncarnation who, int incarnation, String address, boolean cut) {
        return new Statement(who, incarnation, State.ALIVE, address, cut, "");
    }

    Statement accused(State as, String accuser) {
        return new Statement(who, incarnation, as, address, cut, accuser);
    }

    /** Whether this is believed over the other, which is about the same name. */
    boolean overrides(Statement other) {
        if (who.number() != other.who.number()) {
            return who.number() > other.who.number();
        }
        if (state == State.LEFT || other.state == State.LEFT) {
            return state == State.LEFT && other.state != State.LEFT; // a life that left doesn't come back
        }
        return incarnation != other.incarnation ? incarnation > other.incarnation
                : state.compareTo(other.state) > 0;
    }

    int bytes() {
        return OVERHEAD + who.name().length() + address.length() + by.length();
    }
}
