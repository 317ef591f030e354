package nettletrail.control.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import nettletrail.protocol.Member;
import nettletrail.store.NodeIdentity;

/**
 * Decides how the owner of a shard changes its group, by one member at a time.
 *
 * <p>A group of 2k + 1 and one of 2k both need k + 1 members, so taking a dead member out of an odd
 * group and taking a joiner into an even one cost nothing. A group that is odd takes a joiner only
 * in place of a dead member or when all its members are alive. Dead is a member whose address a
 * joiner has taken over with a fresh disk, or one silent for some seconds.
 *
 * <p>Order of the changes: a member whose disk is known to be lost leaves; a joiner enters an even
 * group; a dead member makes way for a joiner in an odd group; a joiner enlarges an odd group; a
 * member that is silent for long leaves an even group.
 */
final class GroupChanges {

  /** A process that asks to join, since when, and when it asked last. */
  private record Joiner(Member member, long firstRequestAt, long lastRequestAt) {
    boolean isFounding() {
      return member.equals(NodeIdentity.founding(member.getAddress()));
    }
  }

  /** What one decision rests on. */
  private record Situation(ReplicaGroup group, Member self, MemberContacts contacts, long now) {
    boolean isSelf(Member member) {
      return member.getId().equals(self.getId());
    }

    long sinceLastContact(Member member) {
      return now - contacts.lastContactAt(member.getId());
    }
  }

  private static final int HEARTBEATS_TO_BE_ALIVE = 2;

  private final ShardSettings settings;

  /** By address, since a process that asks with a fresh disk replaces the former one there. */
  private final Map<String, Joiner> joiners = new TreeMap<>();

  GroupChanges(ShardSettings settings) {
    this.settings = settings;
  }

  void onJoinRequest(Member member, long now) {
    Joiner before = joiners.get(member.getAddress());
    boolean known = before != null && before.member().equals(member);
    long firstRequestAt = known ? before.firstRequestAt() : now;
    joiners.put(member.getAddress(), new Joiner(member, firstRequestAt, now));
  }

  /** The group that should follow, or null if it should stay. */
  ReplicaGroup next(ReplicaGroup group, Member self, MemberContacts contacts, long now) {
    joiners.values().removeIf(joiner -> now - joiner.lastRequestAt() > settings.joinerFresh());
    joiners.values().removeIf(joiner -> group.contains(joiner.member().getId()));
    Situation situation = new Situation(group, self, contacts, now);
    ReplicaGroup proposed = proposedGroup(situation);
    boolean viable = proposed != null && hasLiveMajority(proposed, situation);
    return viable ? proposed : null;
  }

  /**
   * A change that cannot be committed would block the shard, so the new group must have a majority
   * that is alive now. The joiner does not count: it may be lost before it has stored the version
   * that names it.
   */
  private boolean hasLiveMajority(ReplicaGroup proposed, Situation situation) {
    long aliveSince = situation.now() - HEARTBEATS_TO_BE_ALIVE * settings.heartbeat();
    Set<String> alive = new HashSet<>();
    for (Member member : situation.group().members()) {
      boolean granted = situation.contacts().grantRequestedAt(member.getId()) >= aliveSince;
      if (granted || situation.isSelf(member)) {
        alive.add(member.getId());
      }
    }
    return proposed.hasMajority(alive);
  }

  private ReplicaGroup proposedGroup(Situation situation) {
    ReplicaGroup group = situation.group();
    Member superseded = supersededMember(situation);
    if (superseded != null) {
      return group.without(superseded.getId());
    }
    Joiner joiner = joiners.values().stream().findFirst().orElse(null);
    boolean odd = group.size() % 2 == 1;
    if (joiner == null) {
      return odd ? null : withoutUnresponsive(situation);
    }
    if (!odd) {
      return group.with(joiner.member());
    }
    Member replaced = replacedBy(joiner, situation);
    if (replaced != null) {
      return group.without(replaced.getId());
    }
    return mayGrow(joiner, situation) ? group.with(joiner.member()) : null;
  }

  /**
   * Of two members at one address, the one that joined first: its disk was lost, or its machine is
   * gone and the address is used again.
   */
  private static Member supersededMember(Situation situation) {
    Map<String, Member> earlier = new HashMap<>();
    for (Member member : situation.group().members()) {
      Member superseded = earlier.put(member.getAddress(), member);
      if (superseded != null && !situation.isSelf(superseded)) {
        return superseded;
      }
    }
    return null;
  }

  private ReplicaGroup withoutUnresponsive(Situation situation) {
    Member unresponsive = longestUnresponsive(situation, member -> settings.removeAfter());
    return unresponsive == null ? null : situation.group().without(unresponsive.getId());
  }

  /** The member of an odd group that makes way for a joiner, or null. */
  private Member replacedBy(Joiner joiner, Situation situation) {
    for (Member member : situation.group().members()) {
      boolean sameAddress = member.getAddress().equals(joiner.member().getAddress());
      if (sameAddress && !situation.isSelf(member)) {
        return member;
      }
    }
    return longestUnresponsive(situation, member -> replaceAfter(member, situation));
  }

  /**
   * A member that never answered this owner is replaced sooner: the time that the owner's election
   * took belongs to its silence.
   */
  private long replaceAfter(Member member, Situation situation) {
    boolean responded = situation.contacts().hasContact(member.getId());
    return responded ? settings.replaceAfter() : settings.replaceUnheardAfter();
  }

  /**
   * A joiner mostly takes the place of a member that has just died. It waits until that one would
   * be known dead and leaves first: beside it, it would make the group even with one member dead.
   * At the first start of the whole system nobody is replaced, and the group grows at once.
   */
  private boolean mayGrow(Joiner joiner, Situation situation) {
    boolean firstStart = joiner.isFounding() && isFounding(situation.group());
    long waited = situation.now() - joiner.firstRequestAt();
    boolean waitedLongEnough = firstStart || waited >= settings.replaceAfter();
    return waitedLongEnough && allResponsive(situation);
  }

  private boolean allResponsive(Situation situation) {
    for (Member member : situation.group().members()) {
      boolean responded = situation.contacts().hasContact(member.getId());
      boolean recent = situation.sinceLastContact(member) <= settings.joinerFresh();
      if (!situation.isSelf(member) && !(responded && recent)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isFounding(ReplicaGroup group) {
    return group.members().stream()
        .allMatch(member -> member.equals(NodeIdentity.founding(member.getAddress())));
  }

  /** Of the other members that were silent for longer than their limit, the one silent longest. */
  private static Member longestUnresponsive(Situation situation, ToLongFunction<Member> limit) {
    Member longest = null;
    for (Member member : situation.group().members()) {
      long sinceLastContact = situation.sinceLastContact(member);
      boolean dead = !situation.isSelf(member) && sinceLastContact > limit.applyAsLong(member);
      if (dead && (longest == null || sinceLastContact > situation.sinceLastContact(longest))) {
        longest = member;
      }
    }
    return longest;
  }
}
