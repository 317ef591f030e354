package nettletrail.control.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettletrail.protocol.Member;

/**
 * Decides how the owner of a shard changes its group, by one member at a time.
 *
 * <p>A group of 2k + 1 and one of 2k both need k + 1 members, so taking a dead member out of an odd
 * group and taking a joiner into an even one cost nothing. A group that is odd takes a joiner only
 * in place of a dead member or when all its members are alive. Dead is a member whose address a
 * joiner has taken over with a fresh disk, or one silent for some seconds.
 */
final class GroupChanges {

  /** A process that asks to join, since when, and when it asked last. */
  private record Joiner(Member member, long firstAskedAt, long askedAt) {}

  private static final int HEARTBEATS_TO_BE_ALIVE = 2;

  private final ShardSettings settings;
  private final Map<String, Joiner> joiners = new HashMap<>();

  GroupChanges(ShardSettings settings) {
    this.settings = settings;
  }

  void onJoinRequest(Member member, long now) {
    Joiner before = joiners.get(member.getId());
    long firstAskedAt = before == null ? now : before.firstAskedAt();
    joiners.put(member.getId(), new Joiner(member, firstAskedAt, now));
  }

  /** The group that should follow, or null if it should stay. */
  ReplicaGroup next(ReplicaGroup group, Member self, MemberContacts contacts, long now) {
    ReplicaGroup changed = wanted(group, self, contacts, now);
    boolean viable = changed != null && hasLiveMajority(changed, group, self, contacts, now);
    return viable ? changed : null;
  }

  /**
   * A change that cannot be committed would block the shard, so the new group must have a majority
   * that is alive now.
   */
  private boolean hasLiveMajority(
      ReplicaGroup changed, ReplicaGroup group, Member self, MemberContacts contacts, long now) {
    long earliest = now - HEARTBEATS_TO_BE_ALIVE * settings.heartbeat();
    Set<String> alive = new HashSet<>();
    for (Member member : changed.members()) {
      String id = member.getId();
      boolean joiner = !group.contains(id);
      if (joiner || id.equals(self.getId()) || contacts.grantAskedAt(id) >= earliest) {
        alive.add(id);
      }
    }
    return changed.hasMajority(alive);
  }

  private ReplicaGroup wanted(ReplicaGroup group, Member self, MemberContacts contacts, long now) {
    joiners.values().removeIf(joiner -> now - joiner.askedAt() > settings.joinerFresh());
    joiners.keySet().removeIf(group::contains);
    Joiner joiner = firstJoiner();
    if (joiner == null) {
      return withoutDead(group, self, contacts, now);
    }
    boolean odd = group.size() % 2 == 1;
    if (!odd) {
      return group.with(joiner.member());
    }
    Member replaced = sameAddress(group, self, joiner.member());
    if (replaced == null) {
      replaced = silentFor(group, self, contacts, now, settings.replaceAfter());
    }
    if (replaced != null) {
      return group.without(replaced.getId());
    }
    return mayGrow(joiner, group, self, contacts, now) ? group.with(joiner.member()) : null;
  }

  /**
   * A joiner mostly takes the place of a member that has just died. It waits until that one would
   * be known dead and leaves first: beside it, it would make the group even with one member dead.
   */
  private boolean mayGrow(
      Joiner joiner, ReplicaGroup group, Member self, MemberContacts contacts, long now) {
    boolean waitedLongEnough = now - joiner.firstAskedAt() >= settings.replaceAfter();
    boolean allHeard = silentFor(group, self, contacts, now, settings.joinerFresh()) == null;
    return waitedLongEnough && allHeard;
  }

  private ReplicaGroup withoutDead(
      ReplicaGroup group, Member self, MemberContacts contacts, long now) {
    Member dead = supersededMember(group, self, contacts);
    if (dead == null && group.size() % 2 == 0) {
      dead = silentFor(group, self, contacts, now, settings.removeAfter());
    }
    return dead == null ? null : group.without(dead.getId());
  }

  private Joiner firstJoiner() {
    List<String> ids = new ArrayList<>(joiners.keySet());
    ids.sort(null);
    return ids.isEmpty() ? null : joiners.get(ids.get(0));
  }

  private static Member sameAddress(ReplicaGroup group, Member self, Member joiner) {
    for (Member member : group.members()) {
      boolean replaced = member.getAddress().equals(joiner.getAddress());
      if (replaced && !member.getId().equals(self.getId())) {
        return member;
      }
    }
    return null;
  }

  /** Of two members at one address, the one that was heard of less lately. */
  private static Member supersededMember(ReplicaGroup group, Member self, MemberContacts contacts) {
    Map<String, Member> latest = new HashMap<>();
    for (Member member : group.members()) {
      Member other = latest.put(member.getAddress(), member);
      if (other == null) {
        continue;
      }
      boolean otherOlder = contacts.heardAt(other.getId()) < contacts.heardAt(member.getId());
      Member older = otherOlder ? other : member;
      return older.getId().equals(self.getId()) ? null : older;
    }
    return null;
  }

  /** The member that has been silent longest, if it has been for that time. */
  private static Member silentFor(
      ReplicaGroup group, Member self, MemberContacts contacts, long now, long silence) {
    Member longest = null;
    long earliest = now - silence;
    for (Member member : group.members()) {
      long heard = contacts.heardAt(member.getId());
      if (heard < earliest && !member.getId().equals(self.getId())) {
        longest = member;
        earliest = heard;
      }
    }
    return longest;
  }
}
