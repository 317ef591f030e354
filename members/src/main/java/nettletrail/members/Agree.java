package nettletrail.members;

import nettletrail.core.Membership.MemberIncarnation;
import nettletrail.core.Membership.View;

/**
 * What members say to agree on the next view (Paxos, Lamport 1998). What is agreed on is the one successor of a view, its
 * number included.
 */
public sealed interface Agree {
    /** The number of the view whose successor it is about. */
    long after();

    /** Who proposes, and the how-many-eth time: of two the higher counts. */
    record Ballot(int round, MemberIncarnation proposer) implements Comparable<Ballot> {
        @Override
        public int compareTo(Ballot other) {
            return round != other.round ? Integer.compare(round, other.round) : proposer.compareTo(other.proposer);
        }
    }

    /**
     * Promise to accept nothing of a lower ballot.
     *
     * @param last view that the proposer knows; who is behind learns it
     */
    record Prepare(Ballot ballot, View last) implements Agree {
        @Override
        public long after() {
            return last.number();
        }
    }

    /**
     * Promised.
     *
     * @param acceptedAt the highest ballot of which something was accepted as its successor, or null
     * @param accepted that
     */
    record Promise(long after, Ballot ballot, Ballot acceptedAt, View accepted) implements Agree { }

    /**
     * Accept this as the next view.
     *
     * @param bound somebody has accepted it before: it may have been agreed already, and nobody's wish counts any more
     */
    record Accept(Ballot ballot, View last, View next, boolean bound) implements Agree {
        @Override
        public long after() {
            return last.number();
        }
    }

    /** Accepted. */
    record Accepted(long after, Ballot ballot) implements Agree { }

    /**
     * No.
     *
     * @param promised a higher ballot that was promised, or null
     * @param well a life that the proposal drops and that is well as seen from here, or null
     * @param last view known here
     */
    record Refusal(long after, Ballot ballot, Ballot promised, MemberIncarnation well, View last) implements Agree { }

    /** This view was agreed. */
    record Decided(View view) implements Agree {
        @Override
        public long after() {
            return view.number();
        }
    }
}
