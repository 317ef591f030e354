package nettletrail.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import nettletrail.decision.Gateway.Backend;
import nettletrail.decision.Gateway.DedupScope;
import nettletrail.decision.Gateway.DiscoveryState;
import nettletrail.decision.Gateway.Idempotency;
import nettletrail.decision.Gateway.Settings;

/**
 * Which of the listed backends one of many gateways uses: a deterministic aperture (Finagle's term). No two gateways
 * talk about it: each derives its part from the list and from its number among them.
 *
 * <p><b>Ring.</b> The backends of a zone that aren't gone, by the hash of their id (of their cell first, where a class
 * drops repeats by cell, so that a cell's backends stand together): the same at every gateway. They have ranks 0 to b - 1.
 *
 * <p><b>Place.</b> Gateway {@code index} of D has the place p that it gets when all are put in the order of the golden
 * ratio's multiples: a bijection, so places are even; and gateways with close indexes (a rack, a zone) are far apart, so
 * that no backend loses all of its gateways with one rack.
 *
 * <p><b>Arc.</b> Of each ring it uses the ranks from floor(p b / D + t) to before floor((p + s) b / D + t), over the end
 * to rank 0, with t from 0 to 1 by the zone's hash, lest all zones round the same gateway's arc down, and s = max(doorsPerBackend, least D / n, D / b of the largest zone) for n backends in all; all of them if s reaches D.
 * Each backend is so in the arcs of floor(s) or ceil(s) gateways, exactly s for a whole s; each gateway has floor or
 * ceil of s b / D of the zone, least or more in all. A zone of fewer than D / s is used by some gateways only: were it
 * used by all, each of its backends would get the load of D gateways, and none of them would come up from the cold.
 *
 * <p><b>Drains.</b> Who drains keeps its rank until it is gone, so that a drain takes nobody else out of a set. As many
 * ready ones as the arc has ranks are used: where some of these drain, the next ready ones of the ring are taken too.
 *
 * <p>A change costs the set's size, and the move of the ranks above in an array. One thread; no clock, no randomness.
 */
final class Aperture {
    /** 2^64 over the golden ratio. */
    private static final long GOLDEN = 0x9E3779B97F4A7C15L;

    /** Parts of a rank that a zone's arcs begin behind those of another. */
    private static final long TURN = 64;

    /**
     * What the module is to be told, as {@link Gateway#onBackends} has it; nothing if it is not whole and has no
     * entries.
     */
    record Told(boolean whole, List<Backend> entries) { }

    private static final class Member implements Comparable<Member> {
        private Backend entry;
        private final long cell;
        private final long hash;
        /** The last list that told it, and the last whose set had it. */
        private long toldBy;
        private long usedBy;

        Member(Backend entry, boolean byCell) {
            this.entry = entry;
            cell = byCell ? mixed(entry.cell()) : 0;
            hash = mixed(entry.id());
        }

        @Override
        public int compareTo(Member other) {
            int order = Long.compareUnsigned(cell, other.cell);
            order = order != 0 ? order : Long.compareUnsigned(hash, other.hash);
            return order != 0 ? order : Long.compare(entry.id(), other.entry.id());
        }
    }

    /** A zone's, in order. */
    private static final class Ring {
        private Member[] ranks = new Member[8];
        private int size;

        void add(Member member) {
            int at = -1 - Arrays.binarySearch(ranks, 0, size, member);
            if (size == ranks.length) {
                ranks = Arrays.copyOf(ranks, 2 * size);
            }
            System.arraycopy(ranks, at, ranks, at + 1, size++ - at);
            ranks[at] = member;
        }

        void remove(Member member) {
            int at = Arrays.binarySearch(ranks, 0, size, member);
            System.arraycopy(ranks, at + 1, ranks, at, --size - at);
            ranks[size] = null;
        }

        /** From the rank on, around: so many, and on until so many of them are ready. */
        void arc(long from, long count, List<Member> into) {
            int ready = 0;
            for (int i = 0; i < size && (i < count || ready < count); i++) {
                Member member = ranks[(int) ((from + i) % size)];
                boolean usable = member.entry.state() == DiscoveryState.READY;
                ready += usable ? 1 : 0;
                if (usable || i < count) {
                    into.add(member);
                }
            }
        }
    }

    /** s as a fraction, so that every gateway and every rank comes to the same. */
    private record Share(long over, long under) {
        boolean above(Share other) {
            return over * (double) other.under > other.over * (double) under;
        }
    }

    private final ApertureSettings settings;
    private final int doors;
    private final long place;
    private final boolean byCell;
    private final Map<Long, Member> listed = new HashMap<>();
    private final TreeMap<Integer, Ring> rings = new TreeMap<>();
    private List<Member> set = List.of();
    private boolean all = true;
    private double sharers;
    private long lists;

    /**
     * @param gateways what this one is told at its start
     * @param index its number among them, from 0
     */
    Aperture(ApertureSettings settings, Settings gateways, int index) {
        this(settings, gateways.gatewayCount(), index, byCell(gateways));
    }

    private static boolean byCell(Settings gateways) {
        for (Gateway.RequestClass each : gateways.classes()) {
            if (each.idempotency() == Idempotency.KEYED && each.dedupScope() == DedupScope.CELL) {
                return true;
            }
        }
        return false;
    }

    Aperture(ApertureSettings settings, int doors, int index, boolean byCell) {
        Gateway.requireInRange(index >= 0 && index < doors, "Aperture.index");
        this.settings = settings;
        this.doors = doors;
        this.byCell = byCell;
        place = place(index, doors);
        sharers = doors;
    }

    /** That gateway's place among so many: how many have a lower multiple of the golden ratio, modulo 1. */
    static long place(int index, int doors) {
        long place = 0;
        for (int i = 0; i < doors; i++) {
            place += Long.compareUnsigned(i * GOLDEN, index * GOLDEN) < 0 ? 1 : 0;
        }
        return place;
    }

    /** SplitMix64's last steps: ids that are numbered through come to lie anywhere. */
    static long mixed(long value) {
        long mixed = (value + GOLDEN ^ value + GOLDEN >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }

    /** Gateways that use each backend, on the mean. */
    double sharers() {
        return sharers;
    }

    /** Whether all listed backends are used. */
    boolean all() {
        return all;
    }

    /** The set in use: by zone, and from the arc's first rank on. */
    List<Backend> set() {
        return entries(set(place));
    }

    /** That of another gateway, by the same list. */
    List<Backend> setOf(int index) {
        return entries(set(place(index, doors)));
    }

    private static List<Backend> entries(List<Member> members) {
        List<Backend> entries = new ArrayList<>(members.size());
        for (Member member : members) {
            entries.add(member.entry);
        }
        return entries;
    }

    /** Takes a list in, whole or only what changed, and says what the module is to be told of it. */
    Told listed(boolean whole, List<Backend> entries) {
        lists++;
        boolean before = all;
        List<Backend> gone = new ArrayList<>();
        for (Backend entry : entries) {
            take(entry, gone);
        }
        if (whole) {
            for (Iterator<Member> it = listed.values().iterator(); it.hasNext();) {
                Member member = it.next();
                if (member.toldBy != lists) {
                    leaves(member);
                    it.remove();
                }
            }
        }
        Share share = share();
        all = share.over() >= doors * share.under();
        sharers = all ? doors : share.over() / (double) share.under();
        if (all) {
            set = List.of();
            return before ? new Told(whole, entries) : new Told(true, set());
        }
        List<Member> old = set;
        set = set(place);
        if (whole || before) {
            for (Member member : set) {
                member.usedBy = lists;
            }
            return new Told(true, set());
        }
        return new Told(false, changes(old, gone));
    }

    private void take(Backend entry, List<Backend> gone) {
        Member known = listed.get(entry.id());
        boolean moved = known != null && (known.entry.zone() != entry.zone()
                || byCell && known.entry.cell() != entry.cell());
        if (known != null && (moved || entry.state() == DiscoveryState.GONE)) {
            leaves(known);
            listed.remove(entry.id());
            if (known.usedBy == lists - 1) {
                gone.add(entry);
            }
            known = null;
        }
        if (entry.state() == DiscoveryState.GONE) {
            return;
        }
        if (known == null) {
            known = new Member(entry, byCell);
            listed.put(entry.id(), known);
            Ring ring = rings.get(entry.zone());
            if (ring == null) {
                ring = new Ring();
                rings.put(entry.zone(), ring);
            }
            ring.add(known);
        }
        known.entry = entry;
        known.toldBy = lists;
    }

    private void leaves(Member member) {
        Ring ring = rings.get(member.entry.zone());
        ring.remove(member);
        if (ring.size == 0) {
            rings.remove(member.entry.zone());
        }
    }

    private Share share() {
        int largest = 1;
        for (Ring ring : rings.values()) {
            largest = Math.max(largest, ring.size);
        }
        Share share = new Share(settings.minGatewaysPerBackend(), 1);
        for (Share each : List.of(new Share((long) settings.minBackends() * doors, Math.max(1, listed.size())),
                new Share(doors, largest))) {
            share = each.above(share) ? each : share;
        }
        return share;
    }

    private List<Member> set(long from) {
        List<Member> found = new ArrayList<>();
        Share share = share();
        boolean every = share.over() >= doors * share.under();
        for (Map.Entry<Integer, Ring> each : rings.entrySet()) {
            Ring ring = each.getValue();
            long turn = Math.floorMod(mixed(each.getKey()), TURN);
            long first = (TURN * from * ring.size + turn * doors) / (TURN * doors);
            long whole = TURN * doors * share.under();
            long end = (TURN * (from * share.under() + share.over()) * ring.size + turn * doors * share.under()) / whole;
            ring.arc(every ? 0 : first, every ? ring.size : end - first, found);
        }
        return found;
    }

    /** Who left the list, who left the set (gone, as far as the module may know), who came in, and who changed. */
    private List<Backend> changes(List<Member> old, List<Backend> gone) {
        List<Backend> changes = new ArrayList<>();
        for (Member member : set) {
            if (member.usedBy != lists - 1 || member.toldBy == lists) {
                changes.add(member.entry);
            }
            member.usedBy = lists;
        }
        for (Member member : old) {
            if (member.usedBy != lists && listed.get(member.entry.id()) == member) {
                changes.add(as(member.entry, DiscoveryState.GONE));
            }
        }
        for (Backend entry : gone) {
            Member again = listed.get(entry.id());
            if (again == null || again.usedBy != lists) {
                changes.add(as(entry, DiscoveryState.GONE));
            }
        }
        return changes;
    }

    private static Backend as(Backend entry, DiscoveryState state) {
        return new Backend(entry.id(), entry.zone(), entry.machineType(), entry.cell(), state, entry.weight(),
                entry.startedAtNanos());
    }
}
