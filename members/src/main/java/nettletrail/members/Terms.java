package nettletrail.members;

/**
 * Times and bounds of a member; all times in ns.
 *
 * @param periodNs between two probes
 * @param ackNs after which a probe's answer is looked for through others
 * @param tickNs between two calls of {@link MembersDecider#tick}
 * @param suspicion periods, for up to nine members, for which a suspect may answer at least; it grows as log10(n + 1)
 * @param helpers asked to probe in one's place
 * @param syncNs between two exchanges of all that is known with another
 * @param forgetNs after which a life that is gone is forgotten
 * @param mostMembers known at once, those that are gone included
 * @param mostBytes of statements and rows in one datagram
 * @param lifeguard whether own health, confirmations and pauses count; off only to measure against plain SWIM
 */
public record Terms(long periodNs, long ackNs, long tickNs, double suspicion, int helpers, long syncNs, long forgetNs,
        int mostMembers, int mostBytes, boolean lifeguard) {
    private static final long MS = 1_000_000L;

    /** The usual ones: what they promise is in the design note. */
    public static Terms usual() {
        return new Terms(400 * MS, 150 * MS, 50 * MS, 5, 3, 10_000 * MS, 600_000 * MS, 1_024, 1_000, true);
    }

    /** For how long a suspect may answer at least, among so many members. */
    long suspicionNs(int members) {
        return (long) (suspicion * Math.max(1, Math.log10(members + 1)) * periodNs);
    }
}
