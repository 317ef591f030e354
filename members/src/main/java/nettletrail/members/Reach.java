package nettletrail.members;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.core.Membership.MemberIncarnation;

/** Which links are told broken, by observer: each pair's two directions, as both ends have them. */
final class Reach {
    private final Map<String, Row> rows = new LinkedHashMap<>();
    private int version;
    private Row own;

    /** The observer's own links have changed. */
    Row own(MemberIncarnation self, Collection<Peer> peers) {
        own = new Row(self, ++version, links(peers));
        return own;
    }

    private static List<Row.Link> links(Collection<Peer> peers) {
        List<Row.Link> links = new ArrayList<>();
        for (Peer each : peers) {
            if ((each.outBroken || each.inBroken) && links.size() < Row.MOST_LINKS) {
                links.add(new Row.Link(each.name(), each.outBroken, each.inBroken));
            }
        }
        return links;
    }

    /** Takes in another's; whether it is newer than what was known. */
    boolean apply(Row row) {
        Row known = rows.get(row.observer().name());
        if (row.links().size() > Row.MOST_LINKS || known != null && !row.overrides(known)) {
            return false;
        }
        rows.put(row.observer().name(), row);
        return true;
    }

    /** Whether one of the two tells that their link is broken, in either direction. */
    boolean broken(String one, String other) {
        return names(rows.get(one), other) || names(rows.get(other), one);
    }

    private static boolean names(Row row, String name) {
        return row != null && row.links().stream().anyMatch(each -> each.name().equals(name));
    }

    void forget(String name) {
        rows.remove(name);
    }

    void forgetOwn() {
        own = null;
    }

    List<Row> all(MemberIncarnation self) {
        List<Row> all = new ArrayList<>(rows.values());
        if (own != null && own.observer().equals(self)) {
            all.add(own);
        }
        return all;
    }
}
