package nettletrail.router.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettletrail.configuration.Engine;
import nettletrail.router.BackendEndpoint;
import org.junit.jupiter.api.Test;

class ServiceBackendsTest {
  private static final Engine ENGINE = new Engine(128, 600_000, 5, List.of("m"));
  private static final PromptPrefix PREFIX = PromptPrefix.parse("aa:13000,bb:1000", "m");
  private final ServiceBackends backends = new ServiceBackends("zone-a", 1);

  private static BackendEndpoint endpoint(String id, String zone) {
    return new BackendEndpoint(id, InetSocketAddress.createUnresolved(id, 1), zone, 8, 0);
  }

  private void update(String... ids) {
    List<BackendEndpoint> all = new ArrayList<>();
    for (String id : ids) {
      all.add(endpoint(id, "zone-a"));
    }
    backends.update(all);
  }

  private static BackendChoice request(PromptPrefix prefix, String... tried) {
    return new BackendChoice(prefix, 14_000, 14_100, List.of(tried));
  }

  private BackendLoad choose(PromptPrefix prefix, Engine engine, String... tried) {
    return backends.choose(request(prefix, tried), engine, 1, 0);
  }

  @Test
  void chooseReturnsNullWithoutBackends() {
    assertNull(choose(PREFIX, ENGINE));
  }

  @Test
  void aTriedBackendIsNotChosenAgain() {
    update("b1", "b2");
    assertEquals("b2", choose(PREFIX, ENGINE, "b1").endpoint().id());
    assertEquals("b1", choose(PREFIX, null, "b2").endpoint().id());
    assertNull(choose(PREFIX, null, "b1", "b2"));
  }

  @Test
  void aPrefixStaysAtTheBackendThatItWasSentTo() {
    update("b1", "b2", "b3", "b4", "b5", "b6");
    String first = choose(PREFIX, ENGINE).endpoint().id();
    for (int i = 0; i < 20; i++) {
      assertEquals(first, choose(PREFIX, ENGINE).endpoint().id());
    }
  }

  @Test
  void allDoorsPreferTheSameBackendForAPrefix() {
    Set<String> chosen = new HashSet<>();
    for (int seed = 0; seed < 20; seed++) {
      ServiceBackends door = new ServiceBackends("zone-a", seed);
      List<BackendEndpoint> all = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        all.add(endpoint("b" + i, "zone-a"));
      }
      door.update(all);
      chosen.add(door.choose(request(PREFIX), ENGINE, 20, 0).endpoint().id());
    }
    assertEquals(1, chosen.size());
  }

  @Test
  void aBackendWithALongPrefillQueueIsAvoided() {
    update("b1", "b2", "b3", "b4", "b5", "b6");
    BackendLoad first = choose(PREFIX, ENGINE);
    first.requestSent(60_000, 60_000, 60_000, 0);
    assertNotEquals(first, choose(PREFIX, ENGINE));
  }

  @Test
  void aBackendWithAFullKvCacheIsAvoided() {
    update("b1", "b2");
    BackendLoad first = choose(PREFIX, ENGINE);
    first.requestSent(0, 0, 550_000, 0);
    assertNotEquals(first, choose(PREFIX, ENGINE));
  }

  @Test
  void theEstimateOfOtherDoorsMemoryIsBounded() {
    update("b1", "b2", "b3", "b4", "b5", "b6");
    String home = choose(PREFIX, ENGINE).endpoint().id();
    BackendLoad other = choose(PromptPrefix.NONE, ENGINE, home);
    other.requestSent(90_000, 0, 90_000, 0);
    assertEquals(home, backends.choose(request(PREFIX), ENGINE, 84, 0).endpoint().id());
  }

  @Test
  void withoutAnEngineTheLessLoadedBackendIsChosen() {
    update("b1", "b2");
    BackendLoad first = choose(PromptPrefix.NONE, null);
    for (int i = 0; i < 4; i++) {
      first.requestSent(0, 0, 0, 0);
    }
    assertNotEquals(first, choose(PromptPrefix.NONE, null));
  }

  @Test
  void theLocalZoneIsPreferredUnlessItIsMoreLoaded() {
    backends.update(List.of(endpoint("near", "zone-a"), endpoint("far", "zone-b")));
    BackendLoad near = choose(PromptPrefix.NONE, null);
    assertEquals("near", near.endpoint().id());
    for (int i = 0; i < 6; i++) {
      near.requestSent(0, 0, 0, 0);
    }
    assertEquals("far", choose(PromptPrefix.NONE, null).endpoint().id());
  }

  @Test
  void ejectedBackendsAreSkippedUnlessTheyAreMoreThanHalf() {
    update("b1", "b2", "b3");
    BackendLoad ejected = choose(PromptPrefix.NONE, null);
    for (int i = 0; i < 3; i++) {
      ejected.failed(0);
    }
    for (int i = 0; i < 20; i++) {
      assertNotEquals(ejected, choose(PromptPrefix.NONE, null));
    }
    BackendLoad second = choose(PromptPrefix.NONE, null);
    for (int i = 0; i < 3; i++) {
      second.failed(0);
    }
    Set<BackendLoad> chosen = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      BackendLoad next = choose(PromptPrefix.NONE, null);
      chosen.add(next);
      next.requestSent(0, 0, 0, 0);
    }
    assertEquals(3, chosen.size());
  }

  @Test
  void anUnresponsiveBackendIsReportedOnceAndSkipped() {
    update("b1", "b2", "b3");
    BackendLoad unresponsive = choose(PromptPrefix.NONE, null);
    unresponsive.requestSent(0, 0, 0, 0);
    long later = OutlierDetector.IDLE_TIMEOUT_NANOS + 1;
    assertNotEquals(unresponsive, backends.choose(request(PromptPrefix.NONE), null, 1, later));
    assertEquals(List.of(unresponsive.endpoint().id()), backends.pollEjected());
    assertTrue(backends.pollEjected().isEmpty());
  }

  @Test
  void aBackendInALongPrefillIsNotUnresponsive() {
    update("b1", "b2", "b3");
    BackendLoad prefilling = choose(PREFIX, ENGINE);
    prefilling.requestSent(40_000, 40_000, 40_000, 0);
    long later = OutlierDetector.IDLE_TIMEOUT_NANOS + 1;
    backends.choose(request(PREFIX), ENGINE, 1, later);
    assertTrue(backends.pollEjected().isEmpty());
  }

  @Test
  void aSlowBackendIsAvoided() {
    update("b1", "b2");
    BackendLoad slow = choose(PromptPrefix.NONE, null);
    BackendLoad other = choose(PromptPrefix.NONE, null, slow.endpoint().id());
    for (int i = 0; i < 20; i++) {
      backends.responseStarted(other, 1, 10_000_000, 0);
      backends.responseStarted(slow, 1, 80_000_000, 0);
    }
    for (int i = 0; i < 10; i++) {
      assertEquals(other, choose(PromptPrefix.NONE, null));
    }
  }

  @Test
  void aBackendWithAFailureRateIsAvoided() {
    update("b1", "b2");
    BackendLoad failing = choose(PromptPrefix.NONE, null);
    for (int i = 0; i < 10; i++) {
      if (i % 2 == 0) {
        failing.succeeded(0);
      } else {
        failing.respondedWithError(0);
      }
    }
    assertNotEquals(failing, choose(PromptPrefix.NONE, null));
  }

  @Test
  void updateReturnsTheRemovedBackends() {
    update("b1", "b2");
    assertEquals(List.of("b1"), backends.update(List.of(endpoint("b2", "zone-a"))));
    assertFalse(backends.isReady("b1"));
    assertTrue(backends.isReady("b2"));
    assertTrue(backends.hasUntried(List.of("b1")));
    assertFalse(backends.hasUntried(List.of("b2")));
  }
}
