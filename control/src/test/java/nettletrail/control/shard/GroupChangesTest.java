package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.protocol.Member;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each step of each kind of change of a group; the owner is the first member. */
class GroupChangesTest {

  private static final long OWNED_SINCE = millis(100_000);

  /** Members that answer until told otherwise. */
  private static final class Contacts implements MemberContacts {
    private final Map<String, Long> lastHeard = new HashMap<>();
    private final List<String> neverHeard = new ArrayList<>();
    private long now = OWNED_SINCE;

    void silentSince(Member member, long at) {
      lastHeard.put(member.getId(), at);
    }

    void neverAnswered(Member member) {
      lastHeard.put(member.getId(), OWNED_SINCE);
      neverHeard.add(member.getId());
    }

    @Override
    public long lastContactAt(String id) {
      return lastHeard.getOrDefault(id, now);
    }

    @Override
    public boolean hasContact(String id) {
      return !neverHeard.contains(id);
    }

    @Override
    public long grantRequestedAt(String id) {
      return hasContact(id) ? lastContactAt(id) : ReplicaGroup.NEVER;
    }
  }

  private final GroupChanges changes = new GroupChanges(ShardSettings.defaults());
  private final Contacts contacts = new Contacts();
  private final List<Member> members = new ArrayList<>();

  private static Member member(String id, int machine) {
    return new Member(id, "10.0.0." + machine + ":8665");
  }

  private static Member founding(int machine) {
    String address = "10.0.0." + machine + ":8665";
    return new Member(address + "#0", address);
  }

  @BeforeEach
  void fiveMembers() {
    for (int machine = 1; machine <= 5; machine++) {
      members.add(member("m" + machine, machine));
    }
  }

  private Member at(int machine) {
    return members.get(machine - 1);
  }

  private void keep(int count) {
    members.subList(count, members.size()).clear();
  }

  private void pass(long span) {
    contacts.now += span;
  }

  private void asks(Member joiner) {
    changes.onJoinRequest(joiner, contacts.now);
  }

  /** The identities of the group that follows, or null. */
  private List<String> next() {
    ReplicaGroup group = new ReplicaGroup(members);
    ReplicaGroup changed = changes.next(group, members.get(0), contacts, contacts.now);
    return changed == null ? null : changed.members().stream().map(Member::getId).toList();
  }

  // A wiped member

  @Test
  void givenWipedMember_whenItsMachineAsks_thenTheOldIdentityLeavesAtOnceAndTheNewOneEnters() {
    keep(3);
    contacts.silentSince(at(3), contacts.now);
    asks(member("fresh", 3));
    assertEquals(List.of("m1", "m2"), next());
    keep(2);
    assertEquals(List.of("m1", "m2", "fresh"), next());
  }

  @Test
  void givenBothIdentitiesOfAnAddress_whenTheOwnerIsNew_thenTheLaterOneStays() {
    keep(4);
    members.add(member("fresh", 4));
    contacts.neverAnswered(at(4));
    contacts.neverAnswered(at(5));
    assertEquals(List.of("m1", "m2", "m3", "fresh"), next());
  }

  @Test
  void givenBothIdentitiesOfAnAddress_whenAnotherAsksToJoin_thenTheLostOneLeavesFirst() {
    keep(4);
    members.add(member("fresh", 4));
    contacts.silentSince(at(4), contacts.now);
    asks(member("other", 7));
    assertEquals(List.of("m1", "m2", "m3", "fresh"), next());
  }

  @Test
  void givenDiskLostTwice_whenBothIdentitiesAsked_thenOnlyTheLatestEnters() {
    keep(2);
    asks(member("a", 3));
    pass(millis(200));
    asks(member("b", 3));
    assertEquals(List.of("m1", "m2", "b"), next());
  }

  // A replaced member

  @Test
  void givenReplacedMember_whenItHasBeenSilent_thenItLeavesBeforeItsSuccessorEnters() {
    long lost = contacts.now;
    contacts.silentSince(at(5), lost);
    pass(millis(500));
    asks(member("new", 6));
    assertNull(next());
    pass(millis(1_000));
    asks(member("new", 6));
    assertNull(next());
    pass(millis(1_001));
    asks(member("new", 6));
    assertEquals(List.of("m1", "m2", "m3", "m4"), next());
    keep(4);
    assertEquals(List.of("m1", "m2", "m3", "m4", "new"), next());
  }

  @Test
  void givenNewOwner_whenAMemberNeverAnsweredIt_thenTheMemberIsReplacedSooner() {
    keep(3);
    contacts.neverAnswered(at(3));
    asks(member("new", 6));
    pass(millis(1_000));
    asks(member("new", 6));
    assertNull(next());
    pass(millis(1));
    assertEquals(List.of("m1", "m2"), next());
  }

  @Test
  void givenTwoReplacedMembers_whenBothSuccessorsAsk_thenFourStepsEndWithFiveLiveMembers() {
    contacts.silentSince(at(4), contacts.now);
    contacts.silentSince(at(5), contacts.now + millis(1));
    pass(millis(2_600));
    asks(member("n1", 6));
    asks(member("n2", 7));
    assertEquals(List.of("m1", "m2", "m3", "m5"), next());
    members.remove(at(4));
    assertEquals(List.of("m1", "m2", "m3", "m5", "n1"), next());
    members.add(member("n1", 6));
    assertEquals(List.of("m1", "m2", "m3", "n1"), next());
    members.remove(at(4));
    assertEquals(List.of("m1", "m2", "m3", "n1", "n2"), next());
  }

  @Test
  void givenAddressUsedBefore_whenANewMachineAsksFromThere_thenTheFormerMemberMakesWayAtOnce() {
    asks(member("new", 2));
    assertEquals(List.of("m1", "m3", "m4", "m5"), next());
  }

  // Majorities

  @Test
  void givenAMemberThatDied_whenTheJoinerWouldBeNeededForAMajority_thenItDoesNotEnter() {
    keep(3);
    asks(member("new", 6));
    pass(millis(1_500));
    asks(member("new", 6));
    pass(millis(500));
    contacts.silentSince(at(3), contacts.now);
    pass(millis(600));
    asks(member("new", 6));
    assertNull(next());
  }

  @Test
  void givenEvenGroup_whenNoMajorityGrantedLately_thenNothingChanges() {
    keep(4);
    for (int machine : List.of(2, 3, 4)) {
      contacts.silentSince(at(machine), contacts.now - millis(4_000));
    }
    assertNull(next());
  }

  @Test
  void givenEvenGroup_whenAMemberIsSilentForLong_thenItLeaves() {
    keep(4);
    contacts.silentSince(at(2), contacts.now);
    pass(millis(3_000));
    assertNull(next());
    pass(millis(1));
    assertEquals(List.of("m1", "m3", "m4"), next());
  }

  @Test
  void givenOddGroup_whenAMemberIsSilentAndNobodyAsks_thenNothingChanges() {
    contacts.silentSince(at(2), contacts.now);
    pass(millis(60_000));
    assertNull(next());
  }

  // Growth

  @Test
  void givenFirstStart_whenAMachineAsks_thenTheGroupGrowsAtOnce() {
    members.clear();
    for (int machine = 1; machine <= 3; machine++) {
      members.add(founding(machine));
    }
    asks(founding(4));
    assertEquals(4, next().size());
  }

  @Test
  void givenLaterStart_whenAMachineAsks_thenItWaitsUntilADeadMemberWouldBeKnown() {
    asks(member("new", 6));
    pass(millis(1_499));
    asks(member("new", 6));
    assertNull(next());
    pass(millis(1_001));
    assertEquals(6, next().size());
  }

  @Test
  void givenNewOwner_whenAMemberHasNotAnsweredYet_thenTheGroupDoesNotGrow() {
    members.clear();
    for (int machine = 1; machine <= 5; machine++) {
      members.add(founding(machine));
    }
    contacts.neverAnswered(at(5));
    asks(founding(6));
    assertNull(next());
  }
}
