package nettletrail.control.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import org.junit.jupiter.api.Test;

/** When withdrawals are written, what a write covers, and what the registry keeps of them. */
class DurableWithdrawalsTest {
  private static final long MILLIS = 1_000_000L;
  private static final long SECOND = 1_000 * MILLIS;
  private static final long HEARTBEAT_MS = 1_200;
  private static final int MAX_REMEMBERED = 2_048;

  private final BackendRegistry registry = new BackendRegistry(HEARTBEAT_MS, 0);
  private final DurableWithdrawals withdrawals = new DurableWithdrawals(registry);

  @Test
  void nothingIsWrittenWithoutAWithdrawal() {
    registry.recordCall(backend("a", BackendState.READY), 0);
    assertTrue(withdrawals.writeDue(0).isEmpty());
    assertTrue(withdrawals.isDurable(withdrawals.version()));
  }

  @Test
  void changesDuringAWriteAreCoveredByTheNextOneTogether() {
    withdraw("a", BackendState.CLOSING);
    RegistryAction.StoreWithdrawals first = withdrawals.writeDue(0).orElseThrow();
    assertEquals(List.of("a"), ids(first));
    withdraw("b", BackendState.GONE);
    withdraw("c", BackendState.GONE);
    assertTrue(withdrawals.writeDue(1).isEmpty(), "one write at a time");
    withdrawals.stored(first.version(), true, 2);
    assertTrue(withdrawals.isDurable(first.version()));
    assertFalse(withdrawals.isDurable(withdrawals.version()));
    assertEquals(List.of("a", "b", "c"), ids(withdrawals.writeDue(3).orElseThrow()));
  }

  @Test
  void failedWriteIsNotDurableAndIsRetriedWithBackoff() {
    withdraw("a", BackendState.GONE);
    long version = withdrawals.writeDue(0).orElseThrow().version();
    withdrawals.stored(version, false, 0);
    assertFalse(withdrawals.isDurable(version));
    assertTrue(withdrawals.writeDue(99 * MILLIS).isEmpty());
    version = withdrawals.writeDue(100 * MILLIS).orElseThrow().version();
    withdrawals.stored(version, false, 100 * MILLIS);
    assertTrue(withdrawals.writeDue(299 * MILLIS).isEmpty());
    version = withdrawals.writeDue(300 * MILLIS).orElseThrow().version();
    withdrawals.stored(version, true, 300 * MILLIS);
    assertTrue(withdrawals.isDurable(version));
    assertTrue(withdrawals.writeDue(10 * SECOND).isEmpty());
  }

  @Test
  void backendThatIsReadyAgainIsNotStored() {
    withdraw("a", BackendState.CLOSING);
    registry.merge(
        Backend.newBuilder(backend("a", BackendState.READY)).setCallSequence(9).build(), 1);
    withdraw("b", BackendState.CLOSING);
    assertEquals(List.of("b"), ids(withdrawals.writeDue(2).orElseThrow()));
  }

  @Test
  void restoredDrainingBackendsDoNotKeepOthersFromExpiring() {
    List<Backend> stored =
        List.of(
            backend("a", BackendState.CLOSING),
            backend("b", BackendState.CLOSING),
            backend("c", BackendState.CLOSING));
    registry.restore(stored, 0);
    registry.recordCall(backend("crashed", BackendState.READY), 0);
    for (long now = 0; now < 8 * SECOND; now += SECOND) {
      registry.recordCall(backend("live", BackendState.READY), now);
      registry.expire(now);
    }
    List<String> live = registry.contents().stream().map(Backend::getId).toList();
    assertEquals(List.of("live"), live);
    assertEquals(3, registry.withdrawals().size(), "expired, but remembered");
  }

  @Test
  void rememberedWithdrawalsAreBounded() {
    for (int index = 0; index < MAX_REMEMBERED + 500; index++) {
      withdraw("b" + index, index % 2 == 0 ? BackendState.GONE : BackendState.CLOSING);
    }
    registry.recordCall(backend("live", BackendState.READY), 60 * SECOND);
    registry.expire(60 * SECOND);
    registry.recordCall(backend("live", BackendState.READY), 90 * SECOND);
    registry.expire(90 * SECOND);
    assertEquals(MAX_REMEMBERED, registry.withdrawals().size());
  }

  /** Guards against the loss of the newest withdrawal because its backend registered first. */
  @Test
  void earliestWithdrawalsAreDroppedFirst() {
    registry.recordCall(backend("registered-first", BackendState.READY), 0);
    for (int index = 0; index < MAX_REMEMBERED; index++) {
      withdraw("b" + index, BackendState.GONE);
    }
    withdraw("registered-first", BackendState.GONE);
    registry.expire(0);
    assertEquals(BackendState.GONE, registry.get("registered-first").getState());
    assertNull(registry.get("b0"));
    assertEquals(MAX_REMEMBERED, registry.withdrawals().size());
  }

  private void withdraw(String id, BackendState state) {
    registry.merge(backend(id, state), 0);
    withdrawals.changed();
  }

  private static List<String> ids(RegistryAction.StoreWithdrawals write) {
    return write.withdrawals().stream().map(Backend::getId).toList();
  }

  private static Backend backend(String id, BackendState state) {
    return new Backend(id, "s", "a:1", "z", "v", 1, state, 0L, "", List.of(), 1L);
  }
}
