package nettletrail.control.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import nettletrail.configuration.ConfigurationException;
import nettletrail.control.CoreRegistry;
import nettletrail.control.CoreRegistrySettings;
import nettletrail.control.ShardMap;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.registry.RegistryAction.AnswerBackend;
import nettletrail.control.registry.RegistryAction.StoreWithdrawals;
import nettletrail.control.shard.CoreAction.AnswerOperator;
import nettletrail.control.shard.CoreAction.CommittedConfiguration;
import nettletrail.control.shard.CoreAction.StorePromise;
import nettletrail.control.shard.CoreAction.StoreVersion;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ShardSettings;
import nettletrail.control.shard.StoreOutcome;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.DoorHeartbeatReply;
import nettletrail.protocol.Hello;
import nettletrail.protocol.Member;
import nettletrail.protocol.link.HelloMessages;
import nettletrail.protocol.link.Peer;
import nettletrail.store.NodeIdentity;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;

/**
 * A host of a core process that is the only one, over a disk that is done at the end of each tick.
 */
class CoreHostTest {
  private static final String ADDRESS = "10.0.0.1:7680";
  private static final String OTHER = "10.0.0.2:7680";
  private static final String DOOR = "door-1";
  private static final int OK = 200;
  private static final long MILLIS = 1_000_000L;
  private static final long START_NANOS = 1_000_000 * MILLIS;
  private static final long LEASES_OF_FORMER_DOORS_NANOS = 3_000 * MILLIS;
  private static final int MAX_CALLS = 30;
  private static final int MAX_TICKS = 200;
  private static final byte[] DOCUMENT =
      """
      {"edition":1,"routes":[{"name":"chat","station":"a.example","lane_prefix":"/","kind":"serial",
       "timeout_ms":4000,"carrier":"model"}],"carriers":[{"name":"model"}],
       "senders":[{"name":"north","passes":["secret-1"],"rate_per_s":100,"burst":50}]}
      """
          .getBytes(StandardCharsets.UTF_8);

  private final AtomicLong clock = new AtomicLong(START_NANOS);
  private final List<String> events = new ArrayList<>();
  private final List<AnswerOperator> operatorAnswers = new ArrayList<>();
  private final List<AnswerBackend> backendAnswers = new ArrayList<>();
  private final List<SpecificRecord> sentToDoor = new ArrayList<>();
  private final List<Map<String, QuotaLimit>> committedLimits = new ArrayList<>();
  private final Queue<Runnable> pendingWrites = new ArrayDeque<>();
  private boolean linkUp;
  private final Member self = NodeIdentity.founding(ADDRESS);
  private final CoreShards shards =
      new CoreShards(
          ShardSettings.defaults(),
          self,
          List.of(ADDRESS),
          true,
          ShardMap.SHARD_COUNT,
          Map.of(),
          1,
          clock.get());
  private final CoreRegistry registry =
      new CoreRegistry(
          new CoreRegistrySettings(
              ADDRESS, "zone", 1, 1_200, new GrantTerms(8, 0.1, 1_000, GrantTerms.USUAL_VALID_MS)),
          new ShardLeases(shards, clock::get),
          List.of(),
          clock.get());
  private final CoreHost host =
      new CoreHost(
          shards,
          registry,
          clock::get,
          new RecordedLinks(),
          new DeferredStorage(),
          new RecordedCallers(),
          this::limits,
          change -> events.add("group changed"));

  private Optional<Map<String, QuotaLimit>> limits(CommittedConfiguration committed) {
    try {
      committedLimits.add(
          QuotaLimits.of(new ConfigurationReader().parse(committed.document()).tenants()));
      return Optional.of(committedLimits.get(committedLimits.size() - 1));
    } catch (ConfigurationException unusable) {
      throw new AssertionError(unusable);
    }
  }

  private void tick() {
    clock.addAndGet(CoreHost.TICK_MS * MILLIS);
    host.tick();
    while (!pendingWrites.isEmpty()) {
      pendingWrites.remove().run();
    }
  }

  private void becomeOwner() {
    for (int i = 0; i < MAX_TICKS && !shards.owns(0, clock.get()); i++) {
      tick();
    }
    assertTrue(shards.owns(0, clock.get()));
  }

  /**
   * A group that is not full rejects writes for a while after its start, so the call is retried.
   */
  private AnswerOperator putUntilAccepted() {
    AnswerOperator answer = put(1);
    for (int call = 2; call <= MAX_CALLS && answer.status() != OK; call++) {
      answer = put(call);
    }
    return answer;
  }

  private AnswerOperator put(int call) {
    host.operatorCall(call, "PUT", "0", DOCUMENT);
    for (int i = 0; i < MAX_TICKS && operatorAnswers.size() < call; i++) {
      tick();
    }
    AnswerOperator answer = operatorAnswers.get(call - 1);
    assertEquals(call, answer.call());
    return answer;
  }

  private static Peer peer(String key, String role) {
    return new Peer(key, role, true, new Hello(key, key, role, 1L, 2));
  }

  private static Backend backend() {
    return new Backend(
        "b1",
        "model",
        "10.0.0.9:8080",
        "zone",
        "v1",
        8,
        BackendState.READY,
        0L,
        "",
        List.of("m"),
        1L);
  }

  @Test
  void promisesAndVersionsAreStoredUntilTheProcessOwnsItsShards() {
    becomeOwner();
    assertTrue(events.contains("promise 0"));
    assertTrue(events.contains("version 0"));
  }

  @Test
  void operatorIsAnsweredAndRegistryGetsTheLimitsOfWhatIsCommitted() {
    becomeOwner();
    AnswerOperator answer = putUntilAccepted();
    assertEquals(OK, answer.status());
    assertEquals(List.of(Map.of("north", new QuotaLimit(100, 50))), committedLimits);
    int shard = ShardMap.shardOf("north");
    assertTrue(shards.owns(shard, clock.get()));
    assertEquals(
        new QuotaLimit(100, 50), registry.quotaStatus("north", clock.get()).orElseThrow().limit());
  }

  @Test
  void backendIsAnswered() {
    becomeOwner();
    host.backendCall(3, "PUT", backend());
    assertEquals(List.of(new AnswerBackend(3, OK)), backendAnswers);
  }

  @Test
  void deregistrationIsAnsweredOnceItsWriteHasEnded() {
    becomeOwner();
    clock.addAndGet(LEASES_OF_FORMER_DOORS_NANOS);
    tick();
    host.backendCall(3, "DELETE", backend());
    assertEquals(List.of(), backendAnswers);
    assertEquals("withdrawals 1", events.get(events.size() - 1));
    tick();
    assertEquals(List.of(new AnswerBackend(3, OK)), backendAnswers);
  }

  @Test
  void doorGetsItsReply() {
    becomeOwner();
    Peer door = peer(DOOR, HelloMessages.DOOR_ROLE);
    host.up(door);
    host.received(
        door, new DoorHeartbeat(DOOR, "zone", 1L, clock.get(), 0L, 0L, 0L, false, true, 0L));
    assertTrue(sentToDoor.stream().anyMatch(DoorHeartbeatReply.class::isInstance));
    assertEquals(1, registry.liveDoors(clock.get()));
  }

  @Test
  void linkIsLostOnlyOnceNoOtherLinkWithThePeerIsUp() {
    Peer door = peer(DOOR, HelloMessages.DOOR_ROLE);
    host.up(door);
    linkUp = true;
    host.down(door);
    assertTrue(registry.doorStatus(clock.get()).get(0).linkUp());
    linkUp = false;
    host.down(door);
    assertTrue(registry.doorStatus(clock.get()).stream().noneMatch(status -> status.linkUp()));
  }

  @Test
  void linksAreNotifiedOfOtherCoreProcessesAndOfMembersAfterEachTick() {
    host.up(peer(OTHER, "core"));
    assertEquals(List.of("core up " + OTHER), events);
    host.tick();
    assertEquals("members [" + ADDRESS + "]", events.get(events.size() - 1));
  }

  @Test
  void leasesEndWithTheRelease() {
    becomeOwner();
    host.release();
    assertFalse(shards.owns(0, clock.get()));
  }

  @Test
  void processThatIsNeededInItsGroupLeavesNothing() {
    becomeOwner();
    host.leave();
    assertTrue(host.hasLeft());
    assertTrue(shards.owns(0, clock.get()));
    assertFalse(events.contains("group changed"));
  }

  private final class RecordedLinks implements CoreHostLinks {
    @Override
    public void sendToCore(String address, SpecificRecord message, long validUntil) {
      events.add("send " + address);
    }

    @Override
    public void sendToDoor(String door, SpecificRecord message) {
      sentToDoor.add(message);
    }

    @Override
    public boolean isUp(String peer) {
      return linkUp;
    }

    @Override
    public void coreLinkUp(String address) {
      events.add("core up " + address);
    }

    @Override
    public void followMembers(List<Member> members) {
      events.add("members " + members.stream().map(Member::getAddress).toList());
    }
  }

  private final class DeferredStorage implements CoreStorage {
    @Override
    public void store(StorePromise promise, Consumer<StoreOutcome> done) {
      events.add("promise " + promise.shard());
      pendingWrites.add(() -> done.accept(StoreOutcome.STORED));
    }

    @Override
    public void store(StoreVersion version, Consumer<StoreOutcome> done) {
      events.add("version " + version.shard());
      pendingWrites.add(() -> done.accept(StoreOutcome.STORED));
    }

    @Override
    public void store(StoreWithdrawals withdrawals, Consumer<StoreOutcome> done) {
      events.add("withdrawals " + withdrawals.withdrawals().size());
      pendingWrites.add(() -> done.accept(StoreOutcome.STORED));
    }
  }

  private final class RecordedCallers implements CoreCallers {
    @Override
    public void answerOperator(AnswerOperator answer) {
      operatorAnswers.add(answer);
    }

    @Override
    public void answerBackend(AnswerBackend answer) {
      backendAnswers.add(answer);
    }
  }
}
