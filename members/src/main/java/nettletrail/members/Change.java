package nettletrail.members;

import nettletrail.core.Membership.MemberIncarnation;

/**
 * Something that a member came to believe or to know of itself.
 *
 * @param by who accuses, "" if nobody does
 * @param ms of a pause, else 0
 */
public record Change(Kind kind, MemberIncarnation who, String by, long ms) {
    /** What. The names are those of the events in the log. */
    public enum Kind {
        /** A life that wasn't known. */
        JOINED,
        SUSPECT,
        /** Likely gone. */
        GONE,
        /** A suspect, or one likely gone, is there. */
        BACK,
        LEFT,
        /** A newer life of its name is there. */
        REPLACED,
        /** It says that it gets no answer from anyone, or that it gets answers again. */
        CUT,
        HEALED,
        /** This member itself: accused, and refuting. */
        ACCUSED,
        /** It was stopped for some time, and takes back what it was about to conclude. */
        PAUSED,
        /** It gets no answer from anyone and accuses nobody; it gets answers again. */
        DOUBT,
        TRUST,
        /** It goes by a new life. */
        RENEWED,
        /** Another member has its name and a newer life. */
        SUPERSEDED
    }

    static Change of(Kind kind, MemberIncarnation who) {
        return new Change(kind, who, "", 0);
    }
}
