package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Idle connections to a backend with input that the router's event loop has not read yet. */
@Timeout(30)
class IdleConnectionTest {
  private static final String KEY = RouterFixture.KEY;

  /** The second resolution of a request, directly before it is assigned a connection. */
  private static final int RESOLUTION_IN_THE_QUEUE = 2;

  /** Longer than a connection's cooldown between two requests. */
  private static final long COOLDOWN_MS = 15;

  /** What the backend does on its idle connection. */
  private enum Event {
    END(r -> r.finish()),
    RESET(r -> r.reset()),
    SURPLUS_RESPONSE(
        r ->
            r.write(
                "HTTP/1.1 200 OK\r\nX-Backend-Seal: s\r\nX-Attempt-Id: id-2\r\n"
                    + "Content-Length: 7\r\n\r\nsurplus")),
    SURPLUS_NOT_RUN(
        r ->
            r.write(
                "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nX-Attempt-Id: id-2\r\n"
                    + "Content-Length: 0\r\n\r\n"));

    private final Action action;

    Event(Action action) {
      this.action = action;
    }
  }

  private interface Action {
    void on(ScriptedBackend.Received earlier) throws IOException;
  }

  private RouterFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new RouterFixture(RouterFixture.configuration());
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
  }

  @ParameterizedTest
  @EnumSource(Event.class)
  void anIdleConnectionWithUnreadInputIsNotReused(Event event) throws Exception {
    ScriptedBackend backend = fixture.backend("b1");
    TestClient client = fixture.client();
    client.post("/once/x", "id-1", "", KEY);
    ScriptedBackend.Received first = backend.nextRequest();
    first.respond("200 OK", "one");
    assertEquals("one", client.read().body());
    AtomicInteger resolutions = new AtomicInteger();
    fixture.onLoop(
        () -> {
          fixture.control.onKeysConfirmedRead =
              () -> {
                if (resolutions.incrementAndGet() == RESOLUTION_IN_THE_QUEUE) {
                  perform(event, first);
                }
              };
          return null;
        });
    client.post("/once/x", "id-2", "", KEY);
    ScriptedBackend.Received second = backend.nextRequest();
    assertEquals("id-2", second.id());
    assertEquals(2, second.connection);
    second.respond("200 OK", "two");
    assertEquals("two", client.read().body());
    assertEquals(0, backend.pendingRequests());
  }

  /** Blocks the router's loop, which reads nothing meanwhile, until the cooldown has elapsed. */
  private static void perform(Event event, ScriptedBackend.Received earlier) {
    try {
      event.action.on(earlier);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COOLDOWN_MS);
    while (System.nanoTime() - end < 0) {
      Thread.onSpinWait();
    }
  }
}
