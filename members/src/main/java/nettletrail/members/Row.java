package nettletrail.members;

import java.util.List;
import nettletrail.core.Membership.MemberIncarnation;

/**
 * The links that one observer finds broken; all others work or were not needed. A later version replaces an earlier one.
 *
 * @param version counts the observer's changes in this life
 */
public record Row(MemberIncarnation observer, int version, List<Link> links) {
    /** More are not told on: who finds so many broken is cut off itself. */
    static final int MOST_LINKS = 32;
    private static final int OVERHEAD = 16;
    private static final int LINK = 8;

    /**
     * Between the observer and another.
     *
     * @param out what the observer sends there doesn't arrive
     * @param in what is sent from there doesn't arrive at the observer
     */
    public record Link(String name, boolean out, boolean in) { }

    public Row {
        links = List.copyOf(links);
    }

    boolean overrides(Row other) {
        return observer.number() != other.observer.number() ? observer.number() > other.observer.number()
                : version > other.version;
    }

    int bytes() {
        return OVERHEAD + observer.name().length() + links.stream().mapToInt(each -> LINK + each.name().length()).sum();
    }
}
