package nettletrail.protocol.link;

import java.nio.ByteBuffer;
import java.util.List;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendFreshness;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.Directory;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardHeartbeat;
import nettletrail.protocol.ShardHeartbeatReply;
import nettletrail.protocol.ShardVersion;
import nettletrail.protocol.TenantGrant;
import nettletrail.protocol.TenantUse;

/**
 * Filled-in records that are parts of messages, for tests of the format. Within a record each field
 * has a value of its own, and so have records of different numbers.
 */
final class ExampleParts {
  /** Written out, so that a change of their order in the schema changes the bytes. */
  private static final List<BackendState> BACKEND_STATES =
      List.of(BackendState.READY, BackendState.CLOSING, BackendState.GONE);

  private ExampleParts() {}

  static ByteBuffer bytes(int first) {
    return ByteBuffer.wrap(new byte[] {(byte) first, 0, -1});
  }

  static ProposalNumber proposal(int number) {
    return ProposalNumber.newBuilder()
        .setTerm(1_000_000L + number)
        .setNode("node-" + number)
        .build();
  }

  static Member member(int number) {
    return Member.newBuilder().setId("id-" + number).setAddress("address-" + number).build();
  }

  static ShardVersion shardVersion(int number) {
    return ShardVersion.newBuilder()
        .setProposal(proposal(number))
        .setSequence(2_000_000L + number)
        .setMembers(List.of(member(20 + number)))
        .setValue(bytes(30 + number))
        .build();
  }

  static ShardHeartbeat shardHeartbeat(int number) {
    return ShardHeartbeat.newBuilder()
        .setShard(1_000 + number)
        .setRecipient("recipient-" + number)
        .setProposal(proposal(20 + number))
        .setCommittedSequence(4_000_000L + number)
        .build();
  }

  static ShardHeartbeatReply shardHeartbeatReply(int number) {
    return ShardHeartbeatReply.newBuilder()
        .setShard(1_000 + number)
        .setGranted(number % 2 == 1)
        .setPromised(number % 2 == 0 ? null : proposal(20 + number))
        .setAcceptedProposal(number % 2 == 0 ? null : proposal(30 + number))
        .setAcceptedSequence(5_000_000L + number)
        .build();
  }

  static Backend backend(int number) {
    return Backend.newBuilder()
        .setId("id-" + number)
        .setService("service-" + number)
        .setAddress("address-" + number)
        .setZone("zone-" + number)
        .setEdition("edition-" + number)
        .setSlots(6_000 + number)
        .setState(BACKEND_STATES.get(number % BACKEND_STATES.size()))
        .setWarmUpLeftMs(8_000_000L + number)
        .setStage("stage-" + number)
        .setModels(List.of("models-" + number, "ä-" + number))
        .setCallSequence(11_000_000L + number)
        .build();
  }

  static BackendFreshness backendFreshness(int number) {
    return BackendFreshness.newBuilder()
        .setId("id-" + number)
        .setCallSequence(2_000_000L + number)
        .setAgeMs(3_000_000L + number)
        .build();
  }

  static TenantUse tenantUse(int number) {
    return TenantUse.newBuilder()
        .setTenant("tenant-" + number)
        .setUsedTotal(2_000_000L + number)
        .setWantedTokens(3_000_000L + number)
        .setUnusedTokens(4_000_000L + number)
        .setMinTokens(5_000_000L + number)
        .build();
  }

  static Directory directory(int number) {
    return Directory.newBuilder()
        .setDigest(1_000_000L + number)
        .setCore(List.of(member(10 + number)))
        .setOwners(List.of("owners-" + number, "ä-" + number))
        .build();
  }

  static TenantGrant tenantGrant(int number) {
    return TenantGrant.newBuilder()
        .setTenant("tenant-" + number)
        .setTokens(2_000_000L + number)
        .setPressure(number + 0.50)
        .setDoors(4_000 + number)
        .setKnown(number % 2 == 1)
        .build();
  }
}
