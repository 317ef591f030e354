package nettletrail.members;

import nettletrail.core.Membership.MemberIncarnation;

/** One question to one member: asked straight, then through helpers, then over. */
final class Probe {
    final int sequence;
    final MemberIncarnation whom;
    final long startedAt;
    /** When helpers are asked, and when it is over. */
    final long helpAt;
    final long endsAt;
    /** Helpers asked, or below 0 if it isn't time yet; and those that said they got no answer either. */
    int asked = -1;
    int nacks;
    boolean answered;

    Probe(int sequence, MemberIncarnation whom, long startedAt, long helpAt, long endsAt) {
        this.sequence = sequence;
        this.whom = whom;
        this.startedAt = startedAt;
        this.helpAt = helpAt;
        this.endsAt = endsAt;
    }

    /** A probe in another's place. */
    record Relay(MemberIncarnation asker, int askers, long endsAt) { }
}
