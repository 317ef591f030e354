package nettletrail.members;

import java.util.List;
import nettletrail.core.Membership.MemberIncarnation;

/** What the failure detector of a member sees, as {@link ViewDecider} asks for it. */
public interface Sight {
    /** Lives that are there, this member's own among them: alive, not cut, for so long at least. */
    List<MemberIncarnation> there(long atLeastNs);

    /** Whether this life is likely gone, and has been for so long; one that left or was replaced by a newer life is at once. */
    boolean gone(MemberIncarnation who, long atLeastNs);

    /** Whether it answered this member so lately that this member won't agree to do without it. */
    boolean well(MemberIncarnation who);

    /** All names that are known and didn't leave, this member's own among them. */
    List<String> names();
}
