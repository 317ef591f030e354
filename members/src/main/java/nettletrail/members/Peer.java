package nettletrail.members;

import nettletrail.core.Membership.MemberIncarnation;
import nettletrail.members.Statement.State;

/** What is known of another name: the statement believed, and this member's own contact with it. */
final class Peer {
    /** So long ago that a difference to it is still a number. */
    static final long NEVER = Long.MIN_VALUE / 2;

    Statement statement;
    /** When its state became what it is. */
    long since;
    /** A datagram came straight from it. */
    long heardAt = NEVER;
    /** It answered a question of this member, straight or through a helper. */
    long answeredAt = NEVER;
    /** Word of a newer incarnation of it came, by whatever way: only it makes those. */
    long wordAt;
    /** While it is suspect, else null. */
    Suspicion suspicion;
    /** Number of the last probe that came straight from it. */
    int lastPing;
    /** What is sent there doesn't arrive; what is sent from there doesn't arrive here. */
    boolean outBroken;
    boolean inBroken;

    Peer(Statement statement, long now) {
        believe(statement, now);
    }

    void believe(Statement now, long at) {
        boolean fresh = statement == null || now.who().number() != statement.who().number();
        if (fresh) {
            heardAt = NEVER;
            answeredAt = NEVER;
            lastPing = 0;
            outBroken = false;
            inBroken = false;
        }
        if (fresh || now.incarnation() > statement.incarnation()) {
            wordAt = at;
        }
        if (statement == null || now.state() != statement.state()) {
            since = at;
        }
        statement = now;
        suspicion = null;
    }

    MemberIncarnation life() {
        return statement.who();
    }

    String name() {
        return statement.who().name();
    }

    State state() {
        return statement.state();
    }

    /** Alive or suspect: it is probed in its turn. */
    boolean there() {
        return switch (state()) {
            case ALIVE, SUSPECT -> true;
            case GONE, LEFT -> false;
        };
    }

    /** The last sign of life that came since it was sent, by whatever way. */
    long signAt() {
        return Math.max(heardAt, wordAt);
    }
}
