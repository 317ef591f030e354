package nettletrail.control.shard;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;
import nettletrail.control.RendezvousHash;
import nettletrail.protocol.Member;

/**
 * The members whose majorities commit a version of a shard, as the version names them. Immutable.
 */
public final class ReplicaGroup {

  /** In place of an instant that there is none of; before all instants. */
  public static final long NEVER = Long.MIN_VALUE;

  private final List<Member> members;

  /** Copies the list. */
  public ReplicaGroup(List<Member> members) {
    this.members = List.copyOf(members);
  }

  /** The members, in the order in which they joined. */
  public List<Member> members() {
    return members;
  }

  /** How many members there are. */
  public int size() {
    return members.size();
  }

  /** The smallest count of members that is more than half. */
  public int majority() {
    return members.size() / 2 + 1;
  }

  /** True if a member has that identity. */
  public boolean contains(String id) {
    return find(id) != null;
  }

  /** The member with that identity, or null. */
  public Member find(String id) {
    for (Member member : members) {
      if (member.getId().equals(id)) {
        return member;
      }
    }
    return null;
  }

  /** True if more than half of the members are among the identities; others don't count. */
  public boolean hasMajority(Set<String> ids) {
    int count = 0;
    for (Member member : members) {
      if (ids.contains(member.getId())) {
        count++;
      }
    }
    return !members.isEmpty() && count >= majority();
  }

  /**
   * The latest instant that the instants of a majority are not before, or {@link #NEVER}; a member
   * without an instant has {@link #NEVER}.
   */
  public long majorityInstant(ToLongFunction<Member> instantOf) {
    if (members.isEmpty()) {
      return NEVER;
    }
    List<Long> instants = new ArrayList<>();
    for (Member member : members) {
      instants.add(instantOf.applyAsLong(member));
    }
    instants.sort(Collections.reverseOrder());
    return instants.get(majority() - 1);
  }

  /** The group with one member more. */
  ReplicaGroup with(Member joiner) {
    List<Member> changed = new ArrayList<>(members);
    changed.add(joiner);
    return new ReplicaGroup(changed);
  }

  /** The group without that identity. */
  ReplicaGroup without(String id) {
    List<Member> changed = new ArrayList<>(members);
    changed.removeIf(member -> member.getId().equals(id));
    return new ReplicaGroup(changed);
  }

  /**
   * The rank of an address among the members' for a shard, by rendezvous hashing; the member of
   * rank 0 is the first to start an election. Shards rank the members differently, which spreads
   * the owners.
   */
  int rendezvousRank(int shard, String address) {
    long own = RendezvousHash.weight(shard, address);
    int rank = 0;
    for (Member member : members) {
      if (RendezvousHash.weight(shard, member.getAddress()) > own) {
        rank++;
      }
    }
    return rank;
  }
}
