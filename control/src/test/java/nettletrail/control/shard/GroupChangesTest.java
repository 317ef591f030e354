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

/** Each kind of change of a group; the owner is the first member. */
class GroupChangesTest {

  private static final long OWNED_SINCE = millis(100_000);

  /** Members with contact at all times, except where a test says otherwise. */
  private static final class Contacts implements MemberContacts {
    private final Map<String, Long> lastContact = new HashMap<>();
    private final List<String> withoutContact = new ArrayList<>();
    private long now = OWNED_SINCE;

    void noContactSince(Member member, long at) {
      lastContact.put(member.getId(), at);
    }

    void neverAnswered(Member member) {
      lastContact.put(member.getId(), OWNED_SINCE);
      withoutContact.add(member.getId());
    }

    @Override
    public long lastContactAt(String id) {
      return lastContact.getOrDefault(id, now);
    }

    @Override
    public boolean hasContact(String id) {
      return !withoutContact.contains(id);
    }

    @Override
    public long grantRequestedAt(String id) {
      return hasContact(id) ? lastContactAt(id) : ReplicaGroup.NEVER;
    }
  }

  private GroupChanges changes = new GroupChanges(ShardSettings.defaults());
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

  private void tolerates(int losses) {
    changes = new GroupChanges(ShardSettings.defaults().tolerating(losses));
  }

  private void pass(long span) {
    contacts.now += span;
  }

  private void requestsToJoin(Member joiner) {
    changes.onJoinRequest(joiner, contacts.now);
  }

  /** The identities of the next group, or null if the group stays. */
  private List<String> next() {
    ReplicaGroup group = new ReplicaGroup(members);
    GroupChange change = changes.next(group, members.get(0), contacts, contacts.now);
    return change == null ? null : change.group().members().stream().map(Member::getId).toList();
  }

  // A member that lost its disk

  @Test
  void givenLostDisk_whenItsMachineRequestsToJoin_thenTheOldIdentityIsRemovedAndTheNewOneAdded() {
    keep(3);
    contacts.noContactSince(at(3), contacts.now);
    requestsToJoin(member("fresh", 3));
    assertEquals(List.of("m1", "m2"), next());
    keep(2);
    assertEquals(List.of("m1", "m2", "fresh"), next());
  }

  @Test
  void givenTwoIdentitiesOfAnAddress_whenTheOwnerIsNew_thenTheLaterOneStays() {
    keep(4);
    members.add(member("fresh", 4));
    contacts.neverAnswered(at(4));
    contacts.neverAnswered(at(5));
    assertEquals(List.of("m1", "m2", "m3", "fresh"), next());
  }

  @Test
  void givenTwoIdentitiesOfAnAddress_whenAnotherRequestsToJoin_thenTheEarlierOneIsRemovedFirst() {
    keep(4);
    members.add(member("fresh", 4));
    contacts.noContactSince(at(4), contacts.now);
    requestsToJoin(member("other", 7));
    assertEquals(List.of("m1", "m2", "m3", "fresh"), next());
  }

  @Test
  void givenDiskLostTwice_whenBothIdentitiesRequestToJoin_thenOnlyTheLatestIsAdded() {
    keep(2);
    requestsToJoin(member("a", 3));
    pass(millis(200));
    requestsToJoin(member("b", 3));
    assertEquals(List.of("m1", "m2", "b"), next());
  }

  // A replaced member

  @Test
  void givenReplacedMember_whenUnresponsive_thenItIsRemovedBeforeItsSuccessorIsAdded() {
    long lost = contacts.now;
    contacts.noContactSince(at(5), lost);
    pass(millis(500));
    requestsToJoin(member("new", 6));
    assertNull(next());
    pass(millis(1_000));
    requestsToJoin(member("new", 6));
    assertNull(next());
    pass(millis(1_001));
    requestsToJoin(member("new", 6));
    assertEquals(List.of("m1", "m2", "m3", "m4"), next());
    keep(4);
    assertEquals(List.of("m1", "m2", "m3", "m4", "new"), next());
  }

  @Test
  void givenNewOwner_whenAMemberNeverAnsweredIt_thenTheMemberIsReplacedSooner() {
    keep(3);
    contacts.neverAnswered(at(3));
    requestsToJoin(member("new", 6));
    pass(millis(1_000));
    requestsToJoin(member("new", 6));
    assertNull(next());
    pass(millis(1));
    assertEquals(List.of("m1", "m2"), next());
  }

  @Test
  void givenTwoReplacedMembers_whenBothSuccessorsRequestToJoin_thenFourStepsReplaceBoth() {
    contacts.noContactSince(at(4), contacts.now);
    contacts.noContactSince(at(5), contacts.now + millis(1));
    pass(millis(2_600));
    requestsToJoin(member("n1", 6));
    requestsToJoin(member("n2", 7));
    assertEquals(List.of("m1", "m2", "m3", "m5"), next());
    members.remove(at(4));
    assertEquals(List.of("m1", "m2", "m3", "m5", "n1"), next());
    members.add(member("n1", 6));
    assertEquals(List.of("m1", "m2", "m3", "n1"), next());
    members.remove(at(4));
    assertEquals(List.of("m1", "m2", "m3", "n1", "n2"), next());
  }

  @Test
  void givenReusedAddress_whenANewMachineRequestsToJoin_thenTheFormerMemberIsRemovedAtOnce() {
    requestsToJoin(member("new", 2));
    assertEquals(List.of("m1", "m3", "m4", "m5"), next());
  }

  // Majorities

  @Test
  void givenFailedMember_whenTheJoinerWouldBeNeededForAMajority_thenItIsNotAdded() {
    keep(3);
    requestsToJoin(member("new", 6));
    pass(millis(1_500));
    requestsToJoin(member("new", 6));
    pass(millis(500));
    contacts.noContactSince(at(3), contacts.now);
    pass(millis(600));
    requestsToJoin(member("new", 6));
    assertNull(next());
  }

  @Test
  void givenEvenGroup_whenNoMajorityGrantedRecently_thenNothingChanges() {
    keep(4);
    for (int machine : List.of(2, 3, 4)) {
      contacts.noContactSince(at(machine), contacts.now - millis(4_000));
    }
    assertNull(next());
  }

  @Test
  void givenEvenGroup_whenAMemberIsUnresponsiveForLong_thenItIsRemoved() {
    keep(4);
    contacts.noContactSince(at(2), contacts.now);
    pass(millis(3_000));
    assertNull(next());
    pass(millis(1));
    assertEquals(List.of("m1", "m3", "m4"), next());
  }

  @Test
  void givenFullGroup_whenMembersAreUnresponsiveAndNoneRequestsToJoin_thenNothingChanges() {
    tolerates(2);
    contacts.noContactSince(at(2), contacts.now);
    contacts.noContactSince(at(3), contacts.now);
    pass(millis(60_000));
    assertNull(next());
  }

  // Groups that are larger than a full one, since successors have joined before members ended

  @Test
  void givenSurplus_whenALossWouldStillBeTolerated_thenAFailedMemberStaysForSomeTime() {
    contacts.noContactSince(at(2), contacts.now);
    pass(millis(15_000));
    assertNull(next());
    pass(millis(1));
    assertEquals(List.of("m1", "m3", "m4", "m5"), next());
  }

  /**
   * Review/4: the members that left counted for ever, so that the next lost disk was one too many.
   */
  @Test
  void givenTwoSuccessorsOfThree_whenBothFormerMembersHaveEnded_thenTheGroupIsTheThreeThatRun() {
    contacts.noContactSince(at(1), contacts.now);
    contacts.noContactSince(at(2), contacts.now + millis(6_000));
    members.add(members.remove(0));
    members.add(0, members.remove(3)); // the owner is first: m5, m2, m3, m4, m1
    pass(millis(9_000));
    assertNull(next());
    pass(millis(1));
    assertEquals(List.of("m5", "m2", "m3", "m4"), next());
    members.remove(4);
    assertEquals(List.of("m5", "m3", "m4"), next());
    members.remove(1);
    pass(millis(60_000));
    assertNull(next());
  }

  @Test
  void givenSurplusAtALargeCore_whenFewerThanTwoLossesWouldBeTolerated_thenTheLongestFailedGoes() {
    tolerates(2);
    members.add(member("m6", 6));
    contacts.noContactSince(at(3), contacts.now);
    pass(millis(3_000));
    assertNull(next());
    pass(millis(1));
    assertEquals(List.of("m1", "m2", "m4", "m5", "m6"), next());
  }

  @Test
  void givenSurplus_whenAMemberIsCutOffForSomeSeconds_thenItStays() {
    contacts.noContactSince(at(2), contacts.now);
    pass(millis(10_000));
    assertNull(next());
    contacts.noContactSince(at(2), contacts.now);
    pass(millis(10_000));
    assertNull(next());
  }

  @Test
  void givenSurplus_whenNoMajorityWithoutTheFailedMembersGrantedRecently_thenNothingChanges() {
    for (int machine : List.of(2, 3, 4)) {
      contacts.noContactSince(at(machine), contacts.now - millis(20_000));
    }
    assertNull(next());
  }

  // Members that shut down

  @Test
  void givenSurplus_whenAMemberAsksToLeave_thenItIsRemovedAtOnce() {
    changes.onLeaveRequest(at(2), contacts.now);
    assertEquals(List.of("m1", "m3", "m4", "m5"), next());
    keep(4);
    assertEquals(List.of("m1", "m3", "m4"), next());
  }

  @Test
  void givenMoreLossesToleratedThanNeeded_whenAMemberAsksToLeave_thenItStays() {
    tolerates(0);
    changes.onLeaveRequest(at(2), contacts.now);
    assertNull(next());
  }

  @Test
  void givenFullGroup_whenAMemberAsksToLeave_thenItStays() {
    keep(3);
    changes.onLeaveRequest(at(2), contacts.now);
    assertNull(next());
  }

  @Test
  void givenOneMember_whenASuccessorRequestsToJoin_thenItIsAddedThoughItIsNeededForAMajority() {
    tolerates(0);
    keep(1);
    requestsToJoin(member("new", 6));
    pass(millis(1_400));
    requestsToJoin(member("new", 6));
    assertNull(next());
    pass(millis(1_100));
    requestsToJoin(member("new", 6));
    assertEquals(List.of("m1", "new"), next());
  }

  @Test
  void givenASuccessorOfTheOnlyMember_whenTheOwnerLeaves_thenTheSuccessorIsTheGroup() {
    tolerates(0);
    keep(2);
    changes.onLeaveRequest(at(1), contacts.now);
    assertEquals(List.of("m2"), next());
  }

  @Test
  void givenSurplus_whenAMemberAskedToLeaveAndRunsOn_thenItCountsAsAnyOtherAgain() {
    keep(4);
    changes.onLeaveRequest(at(2), contacts.now);
    pass(millis(3_000));
    assertNull(next());
  }

  @Test
  void givenSurplus_whenAMemberLeavesAndAnotherHasFailed_thenTheLeavingOneGoesFirst() {
    contacts.noContactSince(at(4), contacts.now);
    pass(millis(4_000));
    changes.onLeaveRequest(at(3), contacts.now);
    assertEquals(List.of("m1", "m2", "m4", "m5"), next());
  }

  // Growth

  @Test
  void givenFirstStart_whenAMachineRequestsToJoin_thenTheGroupGrowsAtOnce() {
    members.clear();
    for (int machine = 1; machine <= 3; machine++) {
      members.add(founding(machine));
    }
    requestsToJoin(founding(4));
    assertEquals(4, next().size());
  }

  @Test
  void givenLaterStart_whenAMachineRequestsToJoin_thenItWaitsUntilAFailureWouldBeDetected() {
    requestsToJoin(member("new", 6));
    pass(millis(1_499));
    requestsToJoin(member("new", 6));
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
    requestsToJoin(founding(6));
    assertNull(next());
  }
}
