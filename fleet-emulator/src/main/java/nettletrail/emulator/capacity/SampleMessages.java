package nettletrail.emulator.capacity;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import nettletrail.configuration.CompressedDocument;
import nettletrail.protocol.Accept;
import nettletrail.protocol.AcceptReply;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendFreshness;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.ConfirmQuery;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.Directory;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.DoorHeartbeatReply;
import nettletrail.protocol.FeedAck;
import nettletrail.protocol.FeedEvents;
import nettletrail.protocol.FeedSnapshot;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.GrantRequest;
import nettletrail.protocol.Member;
import nettletrail.protocol.OwnerHeartbeat;
import nettletrail.protocol.OwnerHeartbeatReply;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.RegistryDigest;
import nettletrail.protocol.RegistryUpdate;
import nettletrail.protocol.RegistryUpdateReply;
import nettletrail.protocol.ShardHeartbeat;
import nettletrail.protocol.ShardHeartbeatReply;
import nettletrail.protocol.ShardVersion;
import nettletrail.protocol.TenantGrant;
import nettletrail.protocol.TenantUse;

/** Messages with the names and numbers that a fleet has after some weeks of service. */
final class SampleMessages {
  private static final long TERM = 40;
  private static final int SLOTS = 128;
  private static final long AGE_MS = 600;
  private static final long CONFIRMED_AGE_MS = 150;
  private static final double PRESSURE_PERCENT = 40;
  private static final int DOORS_SERVING = 3;
  private static final long VALID_MS = 1_000;
  private static final long STEADY_CLOCK_NS = 30L * 24 * 3_600 * 1_000_000_000L;
  private static final long TOKENS_USED = 5_000_000_000L;
  private static final long TOKENS_WANTED = 4_000;
  private static final long COUNT = 1_000_000;

  private SampleMessages() {}

  static ProposalNumber proposal() {
    return new ProposalNumber(TERM, FleetNames.member(0));
  }

  static List<Member> members() {
    return IntStream.range(0, FleetPlan.CORE_PROCESSES)
        .mapToObj(number -> new Member(FleetNames.member(number), FleetNames.coreAddress(number)))
        .toList();
  }

  static ShardVersion version(int valueBytes) {
    return new ShardVersion(proposal(), COUNT, members(), ByteBuffer.wrap(new byte[valueBytes]));
  }

  static Accept accept(int valueBytes) {
    return new Accept(0, FleetNames.member(1), proposal(), version(valueBytes));
  }

  static AcceptReply acceptReply() {
    return new AcceptReply(0, FleetNames.member(1), proposal(), COUNT, true, proposal(), "");
  }

  static OwnerHeartbeat ownerHeartbeat(int shards) {
    List<ShardHeartbeat> heartbeats =
        IntStream.range(0, shards)
            .mapToObj(shard -> new ShardHeartbeat(shard, FleetNames.member(1), proposal(), COUNT))
            .toList();
    return new OwnerHeartbeat(FleetNames.member(0), STEADY_CLOCK_NS, heartbeats);
  }

  static OwnerHeartbeatReply ownerHeartbeatReply(int shards) {
    List<ShardHeartbeatReply> replies =
        IntStream.range(0, shards)
            .mapToObj(shard -> new ShardHeartbeatReply(shard, true, proposal(), proposal(), COUNT))
            .toList();
    return new OwnerHeartbeatReply(FleetNames.member(1), STEADY_CLOCK_NS, replies);
  }

  static ConfirmQuery confirmQuery() {
    return new ConfirmQuery(FleetNames.member(0), 0, STEADY_CLOCK_NS);
  }

  static ConfirmReply confirmReply() {
    return new ConfirmReply(
        FleetNames.member(1),
        0,
        STEADY_CLOCK_NS,
        true,
        proposal(),
        COUNT,
        COUNT,
        FleetNames.coreAddress(0),
        members());
  }

  static Backend backend(int number) {
    return new Backend(
        FleetNames.backend(number),
        FleetNames.service(number % SampleDocument.SERVICES),
        FleetNames.backendAddress(number),
        FleetNames.zone(number),
        "v17",
        SLOTS,
        BackendState.READY,
        0L,
        "either_way",
        List.of("m" + number % SampleDocument.SERVICES),
        COUNT);
  }

  static List<Backend> backends(int count) {
    return IntStream.range(0, count).mapToObj(SampleMessages::backend).toList();
  }

  static RegistryUpdate registryUpdate(int backends) {
    return new RegistryUpdate(FleetNames.member(0), COUNT, backends(backends));
  }

  static RegistryUpdateReply registryUpdateReply() {
    return new RegistryUpdateReply(FleetNames.member(1), COUNT);
  }

  static RegistryDigest registryDigest(int backends) {
    List<BackendFreshness> all = new ArrayList<>();
    for (int i = 0; i < backends; i++) {
      all.add(new BackendFreshness(FleetNames.backend(i), COUNT, AGE_MS));
    }
    return new RegistryDigest(FleetNames.member(0), all);
  }

  static DoorHeartbeat doorHeartbeat(int door) {
    return new DoorHeartbeat(
        FleetNames.door(door),
        FleetNames.zone(door),
        STEADY_CLOCK_NS,
        STEADY_CLOCK_NS,
        COUNT,
        STEADY_CLOCK_NS,
        COUNT,
        false,
        true,
        STEADY_CLOCK_NS);
  }

  /** The reply to a door that has the directory. */
  static DoorHeartbeatReply doorHeartbeatReply(int doors) {
    return doorHeartbeatReply(doors, null);
  }

  private static DoorHeartbeatReply doorHeartbeatReply(int doors, Directory directory) {
    return new DoorHeartbeatReply(
        FleetNames.member(0),
        STEADY_CLOCK_NS,
        true,
        CONFIRMED_AGE_MS,
        COUNT,
        STEADY_CLOCK_NS,
        COUNT,
        doors,
        FleetNames.zone(0),
        directory);
  }

  /** The reply to a door that hasn't got the directory, or an older one. */
  static DoorHeartbeatReply doorHeartbeatReplyWithDirectory(int doors) {
    return doorHeartbeatReply(doors, directory());
  }

  private static Directory directory() {
    List<String> owners =
        IntStream.range(0, FleetPlan.SHARDS)
            .mapToObj(shard -> FleetNames.coreAddress(shard % FleetPlan.CORE_PROCESSES))
            .toList();
    return new Directory(STEADY_CLOCK_NS, members(), owners);
  }

  /** All chunks of a document, as one message. */
  static ConfigurationChunk configurationChunk(byte[] document) {
    byte[] stored = CompressedDocument.compress(document);
    return new ConfigurationChunk(COUNT, COUNT, stored.length, 0, ByteBuffer.wrap(stored));
  }

  static FeedSnapshot feedSnapshot(int backends) {
    return new FeedSnapshot(FleetNames.member(0), STEADY_CLOCK_NS, COUNT, backends(backends));
  }

  static FeedEvents feedEvents(int backends) {
    return new FeedEvents(
        FleetNames.member(0),
        STEADY_CLOCK_NS,
        COUNT,
        COUNT + backends,
        backends(backends),
        List.of());
  }

  static FeedAck feedAck(int door) {
    return new FeedAck(FleetNames.door(door), STEADY_CLOCK_NS, COUNT);
  }

  static GrantRequest grantRequest(int door, int tenants) {
    List<TenantUse> uses =
        IntStream.range(0, tenants)
            .mapToObj(
                i ->
                    new TenantUse(
                        FleetNames.tenant(i), TOKENS_USED, TOKENS_WANTED, TOKENS_WANTED, 0L))
            .toList();
    return new GrantRequest(FleetNames.door(door), STEADY_CLOCK_NS, COUNT, 1, uses);
  }

  static GrantReply grantReply(int tenants) {
    List<TenantGrant> grants =
        IntStream.range(0, tenants)
            .mapToObj(
                i ->
                    new TenantGrant(
                        FleetNames.tenant(i), TOKENS_WANTED, PRESSURE_PERCENT, DOORS_SERVING, true))
            .toList();
    return new GrantReply(FleetNames.member(0), COUNT, 1, true, proposal(), VALID_MS, grants);
  }
}
