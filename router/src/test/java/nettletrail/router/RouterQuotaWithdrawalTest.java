package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that leave the queue without tokens: nobody collects tokens for them any longer. */
@Timeout(30)
class RouterQuotaWithdrawalTest {
  private static final String KEY = RouterFixture.KEY;
  private static final String LARGE = "X-Token-Count: 900,100";
  private static final String LARGE_DENIED = "tenant-1 1000";

  private RouterFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new RouterFixture(RouterFixture.configuration());
    fixture.onLoop(() -> fixture.control.tokens = 0);
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  @Test
  void aRequestThatIsRejectedForItsQuotaWithdrawsItsTokensOnce() throws Exception {
    fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, LARGE);
    assertEquals(429, client.read().status());
    assertEquals(List.of(LARGE_DENIED), withdrawn());
  }

  @Test
  void aRequestWhoseClientDisconnectsWithdrawsItsTokens() throws Exception {
    fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, LARGE);
    while (denied().isEmpty()) {
      Thread.onSpinWait();
    }
    client.close();
    while (withdrawn().isEmpty()) {
      Thread.onSpinWait();
    }
    assertEquals(List.of(LARGE_DENIED), withdrawn());
  }

  @Test
  void aRequestThatGotItsTokensWithdrawsNothing() throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY, LARGE);
    while (denied().isEmpty()) {
      Thread.onSpinWait();
    }
    fixture.onLoop(
        () -> {
          fixture.control.tokens = 1_000;
          fixture.router.quotaGranted(List.of("tenant-1"));
          return null;
        });
    backend.nextRequest().respond("200 OK", "");
    assertEquals(200, client.read().status());
    assertEquals(List.of(), withdrawn());
  }

  @Test
  void afterAWithdrawalTheTenantsNextRequestIsTriedAgain() throws Exception {
    fixture.backend("b1");
    TestClient first = fixture.client();
    first.post("/once/x", "id-1", "", KEY, LARGE);
    while (denied().isEmpty()) {
      Thread.onSpinWait();
    }
    TestClient second = fixture.client();
    second.post("/once/x", "id-2", "", KEY, "X-Token-Count: 1,1");
    first.close();
    while (withdrawn().isEmpty()) {
      Thread.onSpinWait();
    }
    assertEquals(429, second.read().status());
    List<String> afterwards = denied();
    assertTrue(afterwards.contains("tenant-1 2"), "tried: " + afterwards);
  }

  private List<String> denied() throws Exception {
    return fixture.onLoop(() -> List.copyOf(fixture.control.denied));
  }

  private List<String> withdrawn() throws Exception {
    return fixture.onLoop(() -> List.copyOf(fixture.control.withdrawn));
  }
}
