package nettletrail.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Statements and rows on their way to all, carried by whatever datagram goes out: those told least often first, each a
 * bounded number of times ({@code multiplier * ceil(log10(n + 1))}, after which all have it with high probability: Das,
 * Gupta, Motivala 2002, 4.1). A newer one about the same name takes the older one's place.
 */
final class Gossip {
    /** Told so often for each power of ten of members. */
    private static final int MULTIPLIER = 4;

    private static final class Item {
        final Statement statement;
        final Row row;
        int told;

        Item(Statement statement, Row row) {
            this.statement = statement;
            this.row = row;
        }

        int bytes() {
            return statement != null ? statement.bytes() : row.bytes();
        }
    }

    private final Map<String, Item> items = new LinkedHashMap<>();

    void add(Statement statement) {
        items.put("s" + statement.who().name(), new Item(statement, null));
    }

    void add(Row row) {
        items.put("r" + row.observer().name(), new Item(null, row));
    }

    void forget(String name) {
        items.remove("s" + name);
        items.remove("r" + name);
    }

    /** How often each is told among so many members. */
    static int times(int members) {
        return MULTIPLIER * (int) Math.ceil(Math.log10(members + 1));
    }

    /**
     * Takes what fits; what was told often enough is dropped.
     *
     * @param members that it is for; 0 if nobody is known to hear it, so that nothing counts as told
     */
    void fill(int bytes, int members, List<Statement> statements, List<Row> rows) {
        int left = bytes;
        List<Item> order = new ArrayList<>(items.values());
        order.sort(Comparator.comparingInt(each -> each.told));
        for (Item each : order) {
            if (each.bytes() > left) {
                continue;
            }
            left -= each.bytes();
            if (each.statement != null) {
                statements.add(each.statement);
            } else {
                rows.add(each.row);
            }
            each.told += members > 0 ? 1 : 0;
        }
        if (members == 0) {
            return;
        }
        int most = times(members);
        items.values().removeIf(each -> each.told >= most);
    }

    int size() {
        return items.size();
    }
}
