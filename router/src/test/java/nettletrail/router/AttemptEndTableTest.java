package nettletrail.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import nettletrail.router.AttemptEnd.Moment;
import nettletrail.router.AttemptEnd.Outcome;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Every way in which an attempt can end, on each kind of route, with a second backend ready and a
 * sufficient retry budget.
 */
@Timeout(60)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AttemptEndTableTest {
  private static final String KEY = RouterFixture.KEY;
  private static final int LONG_BODY_BYTES = 4_100_000;
  private static final int SHORT_BODY_BYTES = 1_000;
  private static final int PART_BYTES = 20_000;

  /** The one directly before the first byte; the others are on arrival and in the queue. */
  private static final int LAST_RESOLUTION = 3;

  /** A kind of route, by its path in the fixture's configuration. */
  private enum Kind {
    SINGLE_SEND("/once/x", false),
    RESENDABLE("/again/x", true),
    STREAM("/stream/x", false),
    STREAM_WITH_RESUME("/resume/x", true);

    final String path;
    final boolean idempotent;

    Kind(String path, boolean idempotent) {
      this.path = path;
      this.idempotent = idempotent;
    }
  }

  private final String longBody = longBody();
  private RouterFixture fixture;
  private int cases;

  /** No substring of it occurs twice, so that a part of it identifies its position. */
  private static String longBody() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; text.length() < LONG_BODY_BYTES; i++) {
      text.append(i).append(' ');
    }
    return text.substring(0, LONG_BODY_BYTES);
  }

  /** Only a long body is still being sent when the backend acts. */
  private String bodyFor(AttemptEnd end) {
    return end.moment == Moment.READ ? longBody.substring(0, SHORT_BODY_BYTES) : longBody;
  }

  static Stream<Arguments> table() {
    List<Arguments> rows = new ArrayList<>();
    for (AttemptEnd end : AttemptEnd.values()) {
      for (Kind kind : Kind.values()) {
        rows.add(Arguments.of(end, kind));
      }
    }
    return rows.stream();
  }

  @BeforeAll
  void start() throws Exception {
    fixture = RouterFixture.withRetries(RouterFixture.configuration());
    fixture.earnRetries();
  }

  @AfterAll
  void stop() throws Exception {
    fixture.close();
  }

  @ParameterizedTest(name = "{0} on {1}")
  @MethodSource("table")
  void theClientsResponseFollowsFromWhatTheAttemptProves(AttemptEnd end, Kind kind)
      throws Exception {
    cases++;
    try (RawBackend first = new RawBackend("first-" + cases);
        ScriptedBackend second = new ScriptedBackend("second-" + cases);
        TestClient client = fixture.client()) {
      fixture.backends("s", List.of(first.endpoint()));
      RawBackend.Connection connection =
          end.moment == Moment.BEFORE_WRITE
              ? endBeforeWrite(end, kind, first, second, client)
              : endAfterWrite(end, kind, first, second, client);
      boolean retry =
          end.outcome == Outcome.NOT_RUN || end.outcome == Outcome.MAY_HAVE_RUN && kind.idempotent;
      if (retry) {
        ScriptedBackend.Received request = second.nextRequest();
        assertEquals(bodyFor(end), request.body);
        request.respond("200 OK", "second");
      }
      TestClient.Response response = client.read();
      assertEquals(retry ? 200 : statusOf(end.outcome), response.status());
      assertEquals(retry ? "second" : bodyOf(end.outcome), response.body());
      assertTrue(response.complete());
      assertEquals(0, second.pendingRequests());
      assertOnlyTheBodyWasSent(end, connection);
    }
  }

  private RawBackend.Connection endAfterWrite(
      AttemptEnd end, Kind kind, RawBackend first, ScriptedBackend second, TestClient client)
      throws Exception {
    client.post(kind.path, AttemptEnd.ID, bodyFor(end), KEY);
    RawBackend.Connection connection = first.accept();
    connection.readHead();
    if (end.moment == Moment.BODY_PARTLY_READ) {
      assertEquals(longBody.substring(0, PART_BYTES), connection.read(PART_BYTES));
    } else if (end.moment == Moment.READ) {
      assertEquals(bodyFor(end), connection.read(SHORT_BODY_BYTES));
    }
    fixture.backends("s", List.of(first.endpoint(), second.endpoint()));
    end.action.on(connection);
    return connection;
  }

  /** The backend resets the connection while the router confirms that it may write. */
  private RawBackend.Connection endBeforeWrite(
      AttemptEnd end, Kind kind, RawBackend first, ScriptedBackend second, TestClient client)
      throws Exception {
    AtomicInteger resolutions = new AtomicInteger();
    fixture.onLoop(
        () -> {
          fixture.control.onKeysConfirmedRead =
              () -> {
                if (resolutions.incrementAndGet() == LAST_RESOLUTION) {
                  resetOnce(end, first, second);
                }
              };
          return null;
        });
    client.post(kind.path, AttemptEnd.ID, bodyFor(end), KEY);
    return null;
  }

  private void resetOnce(AttemptEnd end, RawBackend first, ScriptedBackend second) {
    fixture.control.onKeysConfirmedRead = () -> {};
    try {
      end.action.on(first.accept());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    fixture.control.backends.put("s", List.of(first.endpoint(), second.endpoint()));
    fixture.router.backendsChanged("s");
  }

  /** After an incomplete body a backend receives the rest of it or nothing. */
  private void assertOnlyTheBodyWasSent(AttemptEnd end, RawBackend.Connection connection)
      throws Exception {
    if (end.moment == Moment.EARLY || end.moment == Moment.BODY_PARTLY_READ) {
      int from = end.moment == Moment.EARLY ? 0 : PART_BYTES;
      String rest = connection.readToEnd();
      assertTrue(longBody.startsWith(rest, from), () -> rest.length() + " other bytes");
    }
  }

  private static int statusOf(Outcome outcome) {
    return switch (outcome) {
      case RESPONDED_200 -> 200;
      case RESPONDED_500 -> 500;
      case MAY_HAVE_RUN -> 502;
      case NOT_RUN -> 503;
    };
  }

  private static String bodyOf(Outcome outcome) {
    return switch (outcome) {
      case RESPONDED_200, RESPONDED_500 -> AttemptEnd.OWN_BODY;
      case MAY_HAVE_RUN, NOT_RUN -> "";
    };
  }
}
