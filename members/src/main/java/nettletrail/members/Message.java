package nettletrail.members;

import java.util.List;
import nettletrail.core.Membership.MemberIncarnation;

/** What members send each other in datagrams. */
public sealed interface Message {
    /**
     * Are you there?
     *
     * @param asker for whom a helper asks; "" if the sender asks for itself
     * @param askers the asker's own number of the probe; {@link #sequence} if the sender asks for itself
     */
    record Ping(int sequence, String asker, int askers) implements Message { }

    /**
     * Yes.
     *
     * @param straight whether a ping of this probe came straight from the asker too
     */
    record Ack(int sequence, boolean straight) implements Message { }

    /** Ask this one for me. */
    record PingRequest(int sequence, MemberIncarnation whom) implements Message { }

    /** The helper got no answer; the helper at least is there. */
    record Nack(int sequence) implements Message { }

    /** Nothing is asked: it only carries statements. */
    record Word() implements Message { }

    /**
     * One datagram.
     *
     * @param toLife the life that it is meant for: another life of that name takes no notice
     */
    record Datagram(MemberIncarnation from, long toLife, Message what, List<Statement> statements, List<Row> rows) {
        public Datagram {
            statements = List.copyOf(statements);
            rows = List.copyOf(rows);
        }
    }
}
