package nettletrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.control.grant.QuotaStatus;
import nettletrail.control.registry.BackendStatus;
import nettletrail.control.registry.DoorStatus;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What operators are shown of a core process's registry, doors and quotas. */
class StatusViewsTest {
  private static final long MILLIS = 1_000_000L;
  private static final long START = 5_000 * MILLIS;
  private static final String ADDRESS = "10.0.0.1:7680";
  private static final long HEARTBEAT_MS = 1_000;

  /** The only core process; owns everything. */
  private static final class OnlyCore implements ShardOwnership {
    @Override
    public boolean owns(int shard, long now) {
      return true;
    }

    @Override
    public ProposalNumber token(int shard) {
      return new ProposalNumber(1L, ADDRESS);
    }

    @Override
    public String ownerAddress(int shard) {
      return ADDRESS;
    }

    @Override
    public List<Member> members() {
      return List.of(new Member(ADDRESS + "#0", ADDRESS));
    }

    @Override
    public int shardCount() {
      return ShardMap.SHARD_COUNT;
    }

    @Override
    public OptionalLong confirmedAt() {
      return OptionalLong.of(START);
    }

    @Override
    public long configurationSequence() {
      return 1;
    }
  }

  private CoreRegistry registry;

  @BeforeEach
  void start() {
    GrantTerms terms = new GrantTerms(8, 0.1, 1_000, GrantTerms.USUAL_VALID_MS);
    CoreRegistrySettings settings = new CoreRegistrySettings(ADDRESS, "a", 1, HEARTBEAT_MS, terms);
    registry = new CoreRegistry(settings, new OnlyCore(), List.of(), START);
  }

  private static DoorHeartbeat heartbeat() {
    return new DoorHeartbeat("door-1", "a", 7L, START, 4L, 0L, 0L, true, true, 0L);
  }

  @Test
  void doorIsShownWithItsLease() {
    assertEquals(List.of(), registry.doorStatus(START));
    registry.doorUp("door-1", START);
    registry.receiveFromDoor("door-1", heartbeat(), START);
    DoorStatus door = registry.doorStatus(START + 1_000 * MILLIS).get(0);
    assertEquals(new DoorStatus("door-1", "a", true, 2_000, true, true, 4, 0), door);
    DoorStatus later = registry.doorStatus(START + 60_000 * MILLIS).get(0);
    assertFalse(later.live());
    assertEquals(0, later.leaseLeftMs());
  }

  @Test
  void backendIsShownWithItsAgeAndExpiry() {
    Backend backend =
        new Backend(
            "b1", "s", "10.0.0.9:1", "a", "v1", 8, BackendState.READY, 0L, "", List.of(), 1L);
    registry.backendCall(1, "PUT", backend, START);
    BackendStatus status = registry.backendStatus(START + 300 * MILLIS).get(0);
    assertEquals(new BackendStatus(backend, 300, false), status);
  }

  @Test
  void quotaIsShownForTenantsOfTheConfiguration() {
    Map<String, QuotaLimit> limits = Map.of("north", new QuotaLimit(100, 50));
    registry.tick(START);
    registry.configurationCommitted(1, 1, ByteBuffer.allocate(0), limits, START);
    QuotaStatus quota = registry.quotaStatus("north", START + MILLIS).orElseThrow();
    assertEquals(new QuotaLimit(100, 50), quota.limit());
    assertEquals(0, quota.outstanding());
    assertTrue(quota.capacity() > 0);
    assertTrue(registry.quotaStatus("nobody", START).isEmpty());
  }
}
