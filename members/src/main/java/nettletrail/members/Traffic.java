package nettletrail.members;

/**
 * What a member sends at most in quiet times, by formula. Each period P it sends one probe and answers one on average; both
 * carry what is new, which in quiet times is nothing, and an exchange of all that is known each sync time:
 * <pre>
 * (ping + ack) / P + 2 n s / syncNs
 * </pre>
 * with n members and s bytes for what is said of each. It grows with n only by the exchanges; while something is new, up to
 * three words each half period come to it, of {@link Terms#mostBytes()} at most.
 */
public final class Traffic {
    /** A datagram without statements, sealed; and its own word, which each ping carries. */
    private static final int DATAGRAM = Sealer.overhead() + 48;
    private static final int STATEMENT = 48;
    private static final double SECOND = 1e9;

    private Traffic() { }

    /** Bytes a second among so many members, with the usual terms and nothing new. */
    public static double mostBytesPerS(int members) {
        Terms terms = Terms.usual();
        double probes = (2.0 * DATAGRAM + STATEMENT) * SECOND / terms.periodNs();
        return probes + 2.0 * members * STATEMENT * SECOND / terms.syncNs();
    }
}
