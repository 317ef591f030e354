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
 * Chooses which of the listed backends one of many gateways uses: a deterministic aperture, as in
 * Finagle. Gateways do not coordinate: each derives its subset from the list and from its own
 * index.
 *
 * <p><b>Ring.</b> The backends of a zone that are not gone, ordered by the hash of their id (of
 * their cell first, where a class drops repeats by cell, so that a cell's backends are adjacent):
 * the same at every gateway. They have ranks 0 to b - 1.
 *
 * <p><b>Position.</b> Gateway {@code index} of D has the position p that it gets when all are
 * sorted by multiples of the golden ratio, modulo 1: a bijection, so positions are even; and
 * gateways with close indexes (a rack, a zone) are far apart, so that no backend loses all of its
 * gateways with one rack.
 *
 * <p><b>Arc.</b> On each ring a gateway uses the ranks from floor(p b / D + t) up to but excluding
 * floor((p + s) b / D + t), wrapping around to rank 0. The offset t from 0 to 1 comes from the
 * zone's hash, so that not all zones round the same gateway's arc down. s =
 * max(minGatewaysPerBackend, minBackends D / n, D / b of the largest zone) for n backends in all; a
 * gateway uses all backends if s reaches D. So each backend is in the arcs of floor(s) or ceil(s)
 * gateways, exactly s for a whole s; each gateway has floor or ceil of s b / D of the zone,
 * minBackends or more in all. A zone of fewer than D / s backends is used by some gateways only: if
 * all used it, each of its backends would get the load of D gateways, and none would get through
 * slow start.
 *
 * <p><b>Drains.</b> A draining backend keeps its rank until it is gone, so that a drain removes no
 * other backend from a subset. A gateway uses as many ready backends as its arc has ranks: where
 * some of these drain, the next ready ones of the ring are added.
 *
 * <p>A change costs the subset's size, and shifting the higher ranks in an array. Single-threaded;
 * no clock, no randomness.
 */
final class Aperture {
  /** 2^64 divided by the golden ratio. */
  private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

  /** Steps per rank of the offset between the arcs of different zones. */
  private static final long OFFSET_STEPS = 64;

  /**
   * The arguments for {@link Gateway#onBackends}; no call is needed if it is neither whole nor has
   * entries.
   */
  record Update(boolean whole, List<Backend> entries) {}

  private static final class Member implements Comparable<Member> {
    private Backend entry;
    private final long cell;
    private final long hash;

    /** Number of the last list that had it, and of the last list whose subset had it. */
    private long listedIn;

    private long usedIn;

    Member(Backend entry, boolean byCell) {
      this.entry = entry;
      cell = byCell ? mix(entry.cell()) : 0;
      hash = mix(entry.id());
    }

    @Override
    public int compareTo(Member other) {
      int order = Long.compareUnsigned(cell, other.cell);
      order = order != 0 ? order : Long.compareUnsigned(hash, other.hash);
      return order != 0 ? order : Long.compare(entry.id(), other.entry.id());
    }
  }

  /** The backends of a zone, in rank order. */
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

    /**
     * Collects {@code count} members from this rank on, wrapping around, and more until {@code
     * count} are ready.
     */
    void collect(long from, long count, List<Member> into) {
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

  /** s as a fraction, so that every gateway computes the same for every rank. */
  private record Ratio(long numerator, long denominator) {
    boolean greaterThan(Ratio other) {
      return numerator * (double) other.denominator > other.numerator * (double) denominator;
    }
  }

  private final ApertureSettings settings;
  private final int gatewayCount;
  private final long position;
  private final boolean byCell;
  private final Map<Long, Member> listed = new HashMap<>();
  private final TreeMap<Integer, Ring> rings = new TreeMap<>();
  private List<Member> subset = List.of();
  private boolean usesAll = true;
  private double gatewaysPerBackend;
  private long listCount;

  /**
   * @param gateways the settings of the gateway
   * @param index the gateway's index, from 0
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

  Aperture(ApertureSettings settings, int gatewayCount, int index, boolean byCell) {
    Gateway.requireInRange(index >= 0 && index < gatewayCount, "Aperture.index");
    this.settings = settings;
    this.gatewayCount = gatewayCount;
    this.byCell = byCell;
    position = position(index, gatewayCount);
    gatewaysPerBackend = gatewayCount;
  }

  /** Position of a gateway: how many others have a lower multiple of the golden ratio, modulo 1. */
  static long position(int index, int gatewayCount) {
    long position = 0;
    for (int i = 0; i < gatewayCount; i++) {
      position += Long.compareUnsigned(i * GOLDEN_RATIO, index * GOLDEN_RATIO) < 0 ? 1 : 0;
    }
    return position;
  }

  /** Finalizer of SplitMix64: spreads sequential ids evenly. */
  static long mix(long value) {
    long mixed = (value + GOLDEN_RATIO ^ value + GOLDEN_RATIO >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return mixed ^ mixed >>> 31;
  }

  /** Mean number of gateways that use each backend. */
  double gatewaysPerBackend() {
    return gatewaysPerBackend;
  }

  /** Whether all listed backends are used. */
  boolean usesAll() {
    return usesAll;
  }

  /** The subset in use: by zone, and from the arc's first rank on. */
  List<Backend> subset() {
    return entries(subset(position));
  }

  /** The subset of another gateway, for the same list. */
  List<Backend> subsetOf(int index) {
    return entries(subset(position(index, gatewayCount)));
  }

  private static List<Backend> entries(List<Member> members) {
    List<Backend> entries = new ArrayList<>(members.size());
    for (Member member : members) {
      entries.add(member.entry);
    }
    return entries;
  }

  /** Applies a list, whole or only its changes, and returns what to report to the delegate. */
  Update listed(boolean whole, List<Backend> entries) {
    listCount++;
    boolean usedAll = usesAll;
    List<Backend> gone = new ArrayList<>();
    for (Backend entry : entries) {
      apply(entry, gone);
    }
    if (whole) {
      for (Iterator<Member> it = listed.values().iterator(); it.hasNext(); ) {
        Member member = it.next();
        if (member.listedIn != listCount) {
          removeFromRing(member);
          it.remove();
        }
      }
    }
    Ratio share = share();
    usesAll = share.numerator() >= gatewayCount * share.denominator();
    gatewaysPerBackend = usesAll ? gatewayCount : share.numerator() / (double) share.denominator();
    if (usesAll) {
      subset = List.of();
      return usedAll ? new Update(whole, entries) : new Update(true, subset());
    }
    List<Member> old = subset;
    subset = subset(position);
    if (whole || usedAll) {
      for (Member member : subset) {
        member.usedIn = listCount;
      }
      return new Update(true, subset());
    }
    return new Update(false, changes(old, gone));
  }

  private void apply(Backend entry, List<Backend> removed) {
    Member known = listed.get(entry.id());
    boolean moved =
        known != null
            && (known.entry.zone() != entry.zone() || byCell && known.entry.cell() != entry.cell());
    if (known != null && (moved || entry.state() == DiscoveryState.GONE)) {
      removeFromRing(known);
      listed.remove(entry.id());
      if (known.usedIn == listCount - 1) {
        removed.add(entry);
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
    known.listedIn = listCount;
  }

  private void removeFromRing(Member member) {
    Ring ring = rings.get(member.entry.zone());
    ring.remove(member);
    if (ring.size == 0) {
      rings.remove(member.entry.zone());
    }
  }

  private Ratio share() {
    int largest = 1;
    for (Ring ring : rings.values()) {
      largest = Math.max(largest, ring.size);
    }
    Ratio share = new Ratio(settings.minGatewaysPerBackend(), 1);
    for (Ratio each :
        List.of(
            new Ratio((long) settings.minBackends() * gatewayCount, Math.max(1, listed.size())),
            new Ratio(gatewayCount, largest))) {
      share = each.greaterThan(share) ? each : share;
    }
    return share;
  }

  private List<Member> subset(long from) {
    List<Member> found = new ArrayList<>();
    Ratio share = share();
    boolean wholeRings = share.numerator() >= gatewayCount * share.denominator();
    for (Map.Entry<Integer, Ring> each : rings.entrySet()) {
      Ring ring = each.getValue();
      long offset = Math.floorMod(mix(each.getKey()), OFFSET_STEPS);
      long first =
          (OFFSET_STEPS * from * ring.size + offset * gatewayCount) / (OFFSET_STEPS * gatewayCount);
      long whole = OFFSET_STEPS * gatewayCount * share.denominator();
      long end =
          (OFFSET_STEPS * (from * share.denominator() + share.numerator()) * ring.size
                  + offset * gatewayCount * share.denominator())
              / whole;
      ring.collect(wholeRings ? 0 : first, wholeRings ? ring.size : end - first, found);
    }
    return found;
  }

  /**
   * Backends that left the list or the subset (both as gone), that joined the subset, and that
   * changed.
   */
  private List<Backend> changes(List<Member> old, List<Backend> gone) {
    List<Backend> changes = new ArrayList<>();
    for (Member member : subset) {
      if (member.usedIn != listCount - 1 || member.listedIn == listCount) {
        changes.add(member.entry);
      }
      member.usedIn = listCount;
    }
    for (Member member : old) {
      if (member.usedIn != listCount && listed.get(member.entry.id()) == member) {
        changes.add(withState(member.entry, DiscoveryState.GONE));
      }
    }
    for (Backend entry : gone) {
      Member again = listed.get(entry.id());
      if (again == null || again.usedIn != listCount) {
        changes.add(withState(entry, DiscoveryState.GONE));
      }
    }
    return changes;
  }

  private static Backend withState(Backend entry, DiscoveryState state) {
    return new Backend(
        entry.id(),
        entry.zone(),
        entry.machineType(),
        entry.cell(),
        state,
        entry.weight(),
        entry.startedAtNanos());
  }
}
