package nettletrail.control.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.stream.IntStream;
import nettletrail.protocol.AcceptReply;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.junit.jupiter.api.Test;

/** Which acknowledgements commit a change of the group: those of the group that it names. */
class OwnerStateTest {

  private static final ProposalNumber PROPOSAL = new ProposalNumber(3L, "m1");
  private static final long NOW = 1_000;

  private final OwnerState owner =
      new OwnerState(
          0,
          PROPOSAL,
          new ShardVersion(ProposalNumbers.ZERO, 0L, members(3), ByteBuffer.allocate(0)),
          ShardSettings.defaults(),
          new ActionQueue("10.0.0.1:8665"),
          NOW);

  private static List<Member> members(int count) {
    return IntStream.rangeClosed(1, count)
        .mapToObj(machine -> new Member("m" + machine, "10.0.0." + machine + ":8665"))
        .toList();
  }

  /** True if this acknowledgement commits the version in flight. */
  private boolean acknowledge(int machine, long sequence) {
    AcceptReply reply = new AcceptReply(0, "m" + machine, PROPOSAL, sequence, true, PROPOSAL, "");
    return owner.onAcceptReply(reply, NOW);
  }

  private void commitFoundVersion() {
    assertFalse(acknowledge(1, 0));
    assertTrue(acknowledge(2, 0));
  }

  private void write(ReplicaGroup group) {
    owner.write(ByteBuffer.allocate(0), group, NOW);
  }

  @Test
  void givenAJoinerInFlight_whenOnlyAMajorityOfTheFormerGroupHasIt_thenItIsNotCommitted() {
    commitFoundVersion();
    write(new ReplicaGroup(members(4)));
    assertFalse(acknowledge(1, 1));
    assertFalse(acknowledge(2, 1));
    assertEquals(3, owner.committedGroup().size());
    assertTrue(acknowledge(4, 1));
    assertEquals(4, owner.committedGroup().size());
  }

  @Test
  void givenARemovalInFlight_whenTheRemovedMemberAcknowledges_thenItDoesNotCount() {
    commitFoundVersion();
    write(new ReplicaGroup(members(3)).without("m1"));
    assertFalse(acknowledge(1, 1));
    assertFalse(acknowledge(2, 1));
    assertTrue(acknowledge(3, 1));
  }

  @Test
  void givenAChangeInFlight_whenAnotherIsWritten_thenItIsRejected() {
    commitFoundVersion();
    write(new ReplicaGroup(members(4)));
    assertThrows(IllegalStateException.class, () -> write(new ReplicaGroup(members(3))));
  }
}
