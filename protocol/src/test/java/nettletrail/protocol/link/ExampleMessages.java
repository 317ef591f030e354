package nettletrail.protocol.link;

import static nettletrail.protocol.link.ExampleParts.backend;
import static nettletrail.protocol.link.ExampleParts.backendFreshness;
import static nettletrail.protocol.link.ExampleParts.bytes;
import static nettletrail.protocol.link.ExampleParts.directory;
import static nettletrail.protocol.link.ExampleParts.member;
import static nettletrail.protocol.link.ExampleParts.proposal;
import static nettletrail.protocol.link.ExampleParts.shardHeartbeat;
import static nettletrail.protocol.link.ExampleParts.shardHeartbeatReply;
import static nettletrail.protocol.link.ExampleParts.shardVersion;
import static nettletrail.protocol.link.ExampleParts.tenantGrant;
import static nettletrail.protocol.link.ExampleParts.tenantUse;

import java.util.List;
import nettletrail.protocol.Accept;
import nettletrail.protocol.AcceptReply;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.ConfigurationFetch;
import nettletrail.protocol.ConfirmQuery;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.DoorHeartbeatReply;
import nettletrail.protocol.FeedAck;
import nettletrail.protocol.FeedEvents;
import nettletrail.protocol.FeedSnapshot;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.GrantRequest;
import nettletrail.protocol.Hello;
import nettletrail.protocol.JoinRequest;
import nettletrail.protocol.LeaseRelease;
import nettletrail.protocol.LeaveReply;
import nettletrail.protocol.LeaveRequest;
import nettletrail.protocol.OrderForward;
import nettletrail.protocol.OrderForwardReply;
import nettletrail.protocol.OwnerHeartbeat;
import nettletrail.protocol.OwnerHeartbeatReply;
import nettletrail.protocol.Ping;
import nettletrail.protocol.Pong;
import nettletrail.protocol.PreVote;
import nettletrail.protocol.PreVoteReply;
import nettletrail.protocol.Prepare;
import nettletrail.protocol.PrepareReply;
import nettletrail.protocol.RegistryDigest;
import nettletrail.protocol.RegistryUpdate;
import nettletrail.protocol.RegistryUpdateReply;
import nettletrail.protocol.VersionQuery;
import nettletrail.protocol.VersionReply;
import org.apache.avro.specific.SpecificRecord;

/**
 * A filled-in example of each message kind, for tests of the format; kinds with optional parts have
 * a second one without them. Fields are set by name, so that a change of their order shows.
 */
final class ExampleMessages {
  private ExampleMessages() {}

  /** The examples in the order of the envelope's union. */
  static List<SpecificRecord> all() {
    return List.of(
        hello(),
        ping(),
        pong(),
        preVote(),
        preVoteReply(),
        preVoteReplyWithoutOptionalParts(),
        prepare(),
        prepareReply(),
        prepareReplyWithoutOptionalParts(),
        accept(),
        acceptReply(),
        acceptReplyWithoutOptionalParts(),
        ownerHeartbeat(),
        ownerHeartbeatReply(),
        leaseRelease(),
        confirmQuery(),
        confirmReply(),
        confirmReplyWithoutOptionalParts(),
        versionQuery(),
        versionReply(),
        versionReplyWithoutOptionalParts(),
        joinRequest(),
        orderForward(),
        orderForwardReply(),
        registryUpdate(),
        registryUpdateReply(),
        registryDigest(),
        doorHeartbeat(),
        doorHeartbeatReply(),
        doorHeartbeatReplyWithoutOptionalParts(),
        configurationChunk(),
        configurationFetch(),
        feedSnapshot(),
        feedEvents(),
        feedAck(),
        grantRequest(),
        grantReply(),
        grantReplyWithoutOptionalParts(),
        leaveRequest(),
        leaveReply());
  }

  private static Hello hello() {
    return Hello.newBuilder()
        .setNode("node-1")
        .setAddress("address-2")
        .setRole("role-3")
        .setIncarnation(-4L)
        .setVersion(505)
        .build();
  }

  private static Ping ping() {
    return Ping.newBuilder().setSentAt(1_000_000_001L).build();
  }

  private static Pong pong() {
    return Pong.newBuilder().setSentAt(1_000_000_001L).build();
  }

  private static PreVote preVote() {
    return PreVote.newBuilder()
        .setShard(101)
        .setRecipient("recipient-2")
        .setProposal(proposal(3))
        .build();
  }

  private static PreVoteReply preVoteReply() {
    return PreVoteReply.newBuilder()
        .setShard(101)
        .setSender("sender-2")
        .setProposal(proposal(3))
        .setGranted(true)
        .setPromised(proposal(5))
        .build();
  }

  private static PreVoteReply preVoteReplyWithoutOptionalParts() {
    return PreVoteReply.newBuilder(preVoteReply()).setPromised(null).build();
  }

  private static Prepare prepare() {
    return Prepare.newBuilder()
        .setShard(101)
        .setRecipient("recipient-2")
        .setProposal(proposal(3))
        .build();
  }

  private static PrepareReply prepareReply() {
    return PrepareReply.newBuilder()
        .setShard(101)
        .setSender("sender-2")
        .setProposal(proposal(3))
        .setGranted(true)
        .setPromised(proposal(5))
        .setAccepted(shardVersion(6))
        .build();
  }

  private static PrepareReply prepareReplyWithoutOptionalParts() {
    return PrepareReply.newBuilder(prepareReply()).setPromised(null).setAccepted(null).build();
  }

  private static Accept accept() {
    return Accept.newBuilder()
        .setShard(101)
        .setRecipient("recipient-2")
        .setProposal(proposal(3))
        .setVersion(shardVersion(4))
        .build();
  }

  private static AcceptReply acceptReply() {
    return AcceptReply.newBuilder()
        .setShard(101)
        .setSender("sender-2")
        .setProposal(proposal(3))
        .setSequence(-4L)
        .setAccepted(true)
        .setPromised(proposal(6))
        .setFailure("failure-7")
        .build();
  }

  private static AcceptReply acceptReplyWithoutOptionalParts() {
    return AcceptReply.newBuilder(acceptReply()).setPromised(null).build();
  }

  private static OwnerHeartbeat ownerHeartbeat() {
    return OwnerHeartbeat.newBuilder()
        .setSender("sender-1")
        .setSentAt(-2L)
        .setShards(List.of(shardHeartbeat(3), shardHeartbeat(4)))
        .build();
  }

  private static OwnerHeartbeatReply ownerHeartbeatReply() {
    return OwnerHeartbeatReply.newBuilder()
        .setSender("sender-1")
        .setSentAt(-2L)
        .setShards(List.of(shardHeartbeatReply(3), shardHeartbeatReply(4)))
        .build();
  }

  private static LeaseRelease leaseRelease() {
    return LeaseRelease.newBuilder()
        .setShard(101)
        .setRecipient("recipient-2")
        .setProposal(proposal(3))
        .build();
  }

  private static ConfirmQuery confirmQuery() {
    return ConfirmQuery.newBuilder()
        .setSender("sender-1")
        .setShard(202)
        .setSentAt(3_000_000_003L)
        .build();
  }

  private static ConfirmReply confirmReply() {
    return ConfirmReply.newBuilder()
        .setSender("sender-1")
        .setShard(202)
        .setSentAt(3_000_000_003L)
        .setReplica(true)
        .setAcceptedProposal(proposal(5))
        .setAcceptedSequence(-6L)
        .setCommittedSequence(7_000_000_007L)
        .setOwnerAddress("ownerAddress-8")
        .setMembers(List.of(member(9), member(10)))
        .build();
  }

  private static ConfirmReply confirmReplyWithoutOptionalParts() {
    return ConfirmReply.newBuilder(confirmReply()).setAcceptedProposal(null).build();
  }

  private static VersionQuery versionQuery() {
    return VersionQuery.newBuilder().setShard(101).build();
  }

  private static VersionReply versionReply() {
    return VersionReply.newBuilder().setShard(101).setVersion(shardVersion(2)).build();
  }

  private static VersionReply versionReplyWithoutOptionalParts() {
    return VersionReply.newBuilder(versionReply()).setVersion(null).build();
  }

  private static LeaveRequest leaveRequest() {
    return LeaveRequest.newBuilder().setShard(102).setMember(member(3)).build();
  }

  private static LeaveReply leaveReply() {
    return LeaveReply.newBuilder().setShard(103).setMember("member-4").build();
  }

  private static JoinRequest joinRequest() {
    return JoinRequest.newBuilder().setShard(101).setMember(member(2)).build();
  }

  private static OrderForward orderForward() {
    return OrderForward.newBuilder()
        .setCall(1_000_000_001L)
        .setMethod("method-2")
        .setIfMatch("ifMatch-3")
        .setBody(bytes(4))
        .build();
  }

  private static OrderForwardReply orderForwardReply() {
    return OrderForwardReply.newBuilder()
        .setCall(1_000_000_001L)
        .setStatus(202)
        .setEdition("edition-3")
        .setBody(bytes(4))
        .build();
  }

  private static RegistryUpdate registryUpdate() {
    return RegistryUpdate.newBuilder()
        .setSender("sender-1")
        .setUpdate(-2L)
        .setBackends(List.of(backend(3), backend(4)))
        .build();
  }

  private static RegistryUpdateReply registryUpdateReply() {
    return RegistryUpdateReply.newBuilder().setSender("sender-1").setUpdate(-2L).build();
  }

  private static RegistryDigest registryDigest() {
    return RegistryDigest.newBuilder()
        .setSender("sender-1")
        .setBackends(List.of(backendFreshness(2), backendFreshness(3)))
        .build();
  }

  private static DoorHeartbeat doorHeartbeat() {
    return DoorHeartbeat.newBuilder()
        .setDoor("door-1")
        .setZone("zone-2")
        .setIncarnation(3_000_000_003L)
        .setSentAt(-4L)
        .setConfigurationSequence(5_000_000_005L)
        .setFeed(-6L)
        .setFeedOffset(7_000_000_007L)
        .setDraining(true)
        .setConfigurationSource(false)
        .setDirectoryDigest(-10L)
        .build();
  }

  private static DoorHeartbeatReply doorHeartbeatReply() {
    return DoorHeartbeatReply.newBuilder()
        .setSender("sender-1")
        .setSentAt(-2L)
        .setConfirmed(true)
        .setConfirmedAgeMs(-4L)
        .setConfigurationSequence(5_000_000_005L)
        .setFeed(-6L)
        .setFeedOffset(7_000_000_007L)
        .setDoors(801)
        .setZone("zone-9")
        .setDirectory(directory(10))
        .build();
  }

  private static DoorHeartbeatReply doorHeartbeatReplyWithoutOptionalParts() {
    return DoorHeartbeatReply.newBuilder(doorHeartbeatReply()).setDirectory(null).build();
  }

  private static ConfigurationChunk configurationChunk() {
    return ConfigurationChunk.newBuilder()
        .setSequence(1_000_000_001L)
        .setEdition(-2L)
        .setSize(303)
        .setOffset(404)
        .setContent(bytes(5))
        .build();
  }

  private static ConfigurationFetch configurationFetch() {
    return ConfigurationFetch.newBuilder()
        .setDoor("door-1")
        .setSequence(-2L)
        .setOffset(303)
        .build();
  }

  private static FeedSnapshot feedSnapshot() {
    return FeedSnapshot.newBuilder()
        .setSender("sender-1")
        .setFeed(-2L)
        .setOffset(3_000_000_003L)
        .setBackends(List.of(backend(4), backend(5)))
        .build();
  }

  private static FeedEvents feedEvents() {
    return FeedEvents.newBuilder()
        .setSender("sender-1")
        .setFeed(-2L)
        .setFromOffset(3_000_000_003L)
        .setOffset(-4L)
        .setBackends(List.of(backend(5), backend(6)))
        .setExpired(List.of("expired-7", "é-7"))
        .build();
  }

  private static FeedAck feedAck() {
    return FeedAck.newBuilder().setDoor("door-1").setFeed(-2L).setOffset(3_000_000_003L).build();
  }

  private static GrantRequest grantRequest() {
    return GrantRequest.newBuilder()
        .setDoor("door-1")
        .setIncarnation(-2L)
        .setRequest(3_000_000_003L)
        .setShard(404)
        .setTenants(List.of(tenantUse(5), tenantUse(6)))
        .build();
  }

  private static GrantReply grantReply() {
    return GrantReply.newBuilder()
        .setSender("sender-1")
        .setRequest(-2L)
        .setShard(303)
        .setOwner(true)
        .setToken(proposal(5))
        .setValidMs(-6L)
        .setGrants(List.of(tenantGrant(7), tenantGrant(8)))
        .build();
  }

  private static GrantReply grantReplyWithoutOptionalParts() {
    return GrantReply.newBuilder(grantReply()).setToken(null).build();
  }
}
