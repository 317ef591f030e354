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

  private void requestsToJoin(Member joiner) {
    changes.onJoinRequest(joiner, contacts.now);
  }

  /** The identities of the next group, or null if the group stays. */
  private List<String> next() {
    ReplicaGroup group = new ReplicaGroup(members);
    ReplicaGroup changed = changes.next(group, members.get(0), contacts, contacts.now);
    return changed == null ? null : changed.members().stream().map(Member::getId).toList();
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
  void givenOddGroup_whenAMemberIsUnresponsiveAndNoneRequestsToJoin_thenNothingChanges() {
    contacts.noContactSince(at(2), contacts.now);
    pass(millis(60_000));
    assertNull(next());
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
