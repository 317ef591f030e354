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
 * <p>Groups of 2k + 1 and of 2k members both have majorities of at least k + 1, so removing a
 * failed member from an odd group and adding a joiner to an even one don't reduce availability. A
 * joiner enters an odd group only in place of a failed member, or if all members are responsive. A
 * member has failed if a joiner has its address with a new identity, that is with a new disk, or if
 * there was no contact with it for some seconds.
 *
 * <p>A full group has 2k + 1 members, where k losses are to be tolerated. A larger one holds
 * members whose successors have joined before they ended. Failed members leave it without a joiner,
 * so that it comes down to the processes that run: as soon as it would tolerate fewer than k
 * further losses with them, and else after a longer time. A member that is shutting down counts as
 * failed from its request to leave on.
 *
 * <p>Precedence of the changes: remove a member whose identity was replaced at its address; remove
 * a failed member from a group that is larger than a full one; add a joiner to an even group;
 * remove a failed member from an odd group for a joiner; add a joiner to an odd group; remove a
 * member without contact for long from an even group.
 */
final class GroupChanges {

  /** A process that asks to join, with the instants of its first and latest request. */
  private record Joiner(Member member, long firstRequestAt, long lastRequestAt) {
    boolean isFounding() {
      return member.equals(NodeIdentity.founding(member.getAddress()));
    }
  }

  /** The input of one decision. */
  private record Situation(ReplicaGroup group, Member self, MemberContacts contacts, long now) {
    boolean isSelf(Member member) {
      return member.getId().equals(self.getId());
    }

    long sinceLastContact(Member member) {
      return now - contacts.lastContactAt(member.getId());
    }
  }

  private static final int MAX_HEARTBEATS_SINCE_GRANT = 2;

  private final ShardSettings settings;

  /** By address, since a new identity there, with a new disk, replaces the former one. */
  private final Map<String, Joiner> joiners = new TreeMap<>();

  /** By identity, until when a request to leave holds. */
  private final Map<String, Long> leavingUntil = new HashMap<>();

  GroupChanges(ShardSettings settings) {
    this.settings = settings;
  }

  /** A process asks to join. */
  void onJoinRequest(Member member, long now) {
    Joiner before = joiners.get(member.getAddress());
    boolean known = before != null && before.member().equals(member);
    long firstRequestAt = known ? before.firstRequestAt() : now;
    joiners.put(member.getAddress(), new Joiner(member, firstRequestAt, now));
  }

  /** A member is shutting down. If it starts again later, it counts as any other. */
  void onLeaveRequest(Member member, long now) {
    leavingUntil.put(member.getId(), now + settings.removeAfterNanos());
  }

  /** The next step, or null if the group should stay. */
  GroupChange next(ReplicaGroup group, Member self, MemberContacts contacts, long now) {
    joiners
        .values()
        .removeIf(joiner -> now - joiner.lastRequestAt() > settings.joinRequestValidityNanos());
    joiners.values().removeIf(joiner -> group.contains(joiner.member().getId()));
    leavingUntil.values().removeIf(until -> now >= until);
    Situation situation = new Situation(group, self, contacts, now);
    GroupChange proposed = proposedChange(situation);
    boolean viable = proposed != null && hasResponsiveMajority(proposed.group(), situation);
    return viable ? proposed : null;
  }

  /**
   * A change that can't be committed would block the shard, so a majority of the new group must
   * have granted the lease recently. The joiner doesn't count: it may fail before it has stored the
   * version that names it. A group of one, which tolerates no loss, can grow only if it counts.
   */
  private boolean hasResponsiveMajority(ReplicaGroup proposed, Situation situation) {
    if (situation.group().size() == 1) {
      return true;
    }
    long oldestGrant =
        situation.now() - MAX_HEARTBEATS_SINCE_GRANT * settings.heartbeatIntervalNanos();
    Set<String> responsive = new HashSet<>();
    for (Member member : situation.group().members()) {
      boolean granted = situation.contacts().grantRequestedAt(member.getId()) >= oldestGrant;
      if (granted || situation.isSelf(member)) {
        responsive.add(member.getId());
      }
    }
    return proposed.hasMajority(responsive);
  }

  private GroupChange proposedChange(Situation situation) {
    ReplicaGroup group = situation.group();
    Member superseded = supersededMember(situation);
    if (superseded != null) {
      return GroupChange.removing(group, superseded, GroupChange.Kind.IDENTITY_REPLACED);
    }
    GroupChange reduction = reductionToFullGroup(situation);
    if (reduction != null) {
      return reduction;
    }
    Joiner joiner = joiners.values().stream().findFirst().orElse(null);
    boolean odd = group.size() % 2 == 1;
    if (joiner == null) {
      return odd ? null : withoutUnresponsive(situation);
    }
    if (!odd) {
      return GroupChange.adding(group, joiner.member());
    }
    GroupChange replacement = replacementBy(joiner, situation);
    if (replacement != null) {
      return replacement;
    }
    return mayGrow(joiner, situation) ? GroupChange.adding(group, joiner.member()) : null;
  }

  /**
   * Of two members with one address, the one that joined first: its disk was lost, or its machine
   * was removed and the address assigned again. Null if there are none.
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

  /** The removal of a failed member from a group that is larger than a full one, or null. */
  private GroupChange reductionToFullGroup(Situation situation) {
    if (situation.group().size() <= settings.fullGroupSize()) {
      return null;
    }
    int tolerated = furtherLossesTolerated(situation);
    Member leaving = leavingMember(situation.group());
    // at most, not fewer than: another member may have ended that isn't missed yet
    if (leaving != null && tolerated <= settings.toleratedLosses()) {
      return GroupChange.removing(situation.group(), leaving, GroupChange.Kind.LEFT);
    }
    if (tolerated < settings.toleratedLosses()) {
      return withoutUnresponsive(situation);
    }
    Member surplus = longestUnresponsive(situation, member -> settings.removeSurplusAfterNanos());
    return surplus == null
        ? null
        : GroupChange.removing(situation.group(), surplus, GroupChange.Kind.SURPLUS);
  }

  /** How many members may still be lost before the others are no majority; negative without one. */
  int furtherLossesTolerated(ReplicaGroup group, Member self, MemberContacts contacts, long now) {
    return furtherLossesTolerated(new Situation(group, self, contacts, now));
  }

  private int furtherLossesTolerated(Situation situation) {
    int responsive = 0;
    for (Member member : situation.group().members()) {
      boolean unresponsive =
          !situation.isSelf(member)
              && situation.sinceLastContact(member) > settings.removeAfterNanos();
      responsive += unresponsive || leavingUntil.containsKey(member.getId()) ? 0 : 1;
    }
    return responsive - situation.group().majority();
  }

  /** A member that is shutting down, which may be this process itself, or null. */
  private Member leavingMember(ReplicaGroup group) {
    return group.members().stream()
        .filter(member -> leavingUntil.containsKey(member.getId()))
        .findFirst()
        .orElse(null);
  }

  private GroupChange withoutUnresponsive(Situation situation) {
    Member unresponsive = longestUnresponsive(situation, member -> settings.removeAfterNanos());
    return unresponsive == null
        ? null
        : GroupChange.removing(situation.group(), unresponsive, GroupChange.Kind.UNRESPONSIVE);
  }

  /** The removal of the failed member of an odd group that a joiner replaces, or null. */
  private GroupChange replacementBy(Joiner joiner, Situation situation) {
    ReplicaGroup group = situation.group();
    for (Member member : group.members()) {
      boolean sameAddress = member.getAddress().equals(joiner.member().getAddress());
      if (sameAddress && !situation.isSelf(member)) {
        return GroupChange.removing(group, member, GroupChange.Kind.IDENTITY_REPLACED);
      }
    }
    Member failed = longestUnresponsive(situation, member -> replaceAfter(member, situation));
    return failed == null
        ? null
        : GroupChange.removing(group, failed, GroupChange.Kind.UNRESPONSIVE_REPLACED);
  }

  /**
   * A member that has never answered this owner is replaced sooner, since it has been unresponsive
   * during the owner's election too.
   */
  private long replaceAfter(Member member, Situation situation) {
    boolean responded = situation.contacts().hasContact(member.getId());
    return responded ? settings.replaceAfterNanos() : settings.replaceUnseenAfterNanos();
  }

  /**
   * A joiner usually replaces a member that has just failed. It waits until that member would be
   * detected and removed first; otherwise the group would be even, with a failed member. At the
   * first start of the system no member is replaced, and the group grows at once.
   */
  private boolean mayGrow(Joiner joiner, Situation situation) {
    boolean firstStart = joiner.isFounding() && isFounding(situation.group());
    long waited = situation.now() - joiner.firstRequestAt();
    boolean waitedLongEnough = firstStart || waited >= settings.replaceAfterNanos();
    return waitedLongEnough && allResponsive(situation);
  }

  private boolean allResponsive(Situation situation) {
    for (Member member : situation.group().members()) {
      boolean responded = situation.contacts().hasContact(member.getId());
      boolean recent = situation.sinceLastContact(member) <= settings.joinRequestValidityNanos();
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

  /** Of the other members without contact for longer than their limit, the longest one, or null. */
  private static Member longestUnresponsive(Situation situation, ToLongFunction<Member> limit) {
    Member longest = null;
    for (Member member : situation.group().members()) {
      long sinceLastContact = situation.sinceLastContact(member);
      boolean failed = !situation.isSelf(member) && sinceLastContact > limit.applyAsLong(member);
      if (failed && (longest == null || sinceLastContact > situation.sinceLastContact(longest))) {
        longest = member;
      }
    }
    return longest;
  }
}
