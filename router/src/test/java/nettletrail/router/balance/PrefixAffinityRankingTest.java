package nettletrail.router.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import nettletrail.router.BackendEndpoint;
import org.junit.jupiter.api.Test;

class PrefixAffinityRankingTest {
  private static final int KEYS = 200;

  private static BackendLoad backend(String id) {
    InetSocketAddress address = InetSocketAddress.createUnresolved(id, 1);
    return new BackendLoad(new BackendEndpoint(id, address, "zone-a", 8, 0));
  }

  private static List<BackendLoad> backends(int count) {
    List<BackendLoad> backends = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      backends.add(backend("b" + i));
    }
    return backends;
  }

  @Test
  void withoutBackendsBothRanksAreNull() {
    PrefixAffinityRanking.TopTwo topTwo = PrefixAffinityRanking.topTwo(List.of(), 1);
    assertNull(topTwo.first());
    assertNull(topTwo.second());
  }

  @Test
  void aSingleBackendIsFirstAndNoneIsSecond() {
    BackendLoad only = backend("b1");
    PrefixAffinityRanking.TopTwo topTwo = PrefixAffinityRanking.topTwo(List.of(only), 1);
    assertEquals(only, topTwo.first());
    assertNull(topTwo.second());
  }

  @Test
  void theRankingDoesNotDependOnTheOrderOfTheList() {
    List<BackendLoad> backends = backends(6);
    List<BackendLoad> reversed = new ArrayList<>(backends);
    Collections.reverse(reversed);
    for (long key = 1; key <= KEYS; key++) {
      assertEquals(
          PrefixAffinityRanking.topTwo(backends, key), PrefixAffinityRanking.topTwo(reversed, key));
    }
  }

  @Test
  void theSecondRanksFirstOnceTheFirstIsRemoved() {
    List<BackendLoad> backends = backends(6);
    for (long key = 1; key <= KEYS; key++) {
      PrefixAffinityRanking.TopTwo before = PrefixAffinityRanking.topTwo(backends, key);
      assertNotEquals(before.first(), before.second());
      List<BackendLoad> left = new ArrayList<>(backends);
      left.remove(before.first());
      assertEquals(before.second(), PrefixAffinityRanking.topTwo(left, key).first());
    }
  }
}
