package nettletrail.fleet.cli.demonstration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each violated guarantee of the demonstration is detected. */
class InvariantChecksTest {
  private static final long MILLIS = 1_000_000L;
  private static final long REVOKED_AT = 1_000 * MILLIS;
  private static final long REVOKE_LIMIT = REVOKED_AT + SettingsTemplate.REVOKE_MS * MILLIS;
  private static final long DRAIN_LIMIT = REVOKED_AT + SettingsTemplate.DRAIN_MS * MILLIS;

  private final BackendRunLog runLog = new BackendRunLog();
  private final List<AttemptResult> attempts = new ArrayList<>();

  @BeforeEach
  void oneAnswerOfEachKind() {
    for (RequestKind kind : RequestKind.values()) {
      String attempt = "usual-" + kind;
      ran("b1", attempt, kind, 0);
      answered(kind, attempt, 0);
    }
  }

  private void ran(String backend, String attempt, RequestKind kind, long at) {
    runLog.record(new BackendRunLog.Run(backend, attempt, kind, at));
  }

  private void answered(RequestKind kind, String attempt, long at) {
    List<Integer> ids = IntStream.rangeClosed(1, kind.events()).boxed().toList();
    ended(kind, attempt, at, new ClientResponse(200, stamp(attempt), at + MILLIS, ids, true, true));
  }

  private static Map<String, String> stamp(String attempt) {
    return Map.of("x-attempt-id", attempt, "x-backend-seal", "seal");
  }

  private void ended(RequestKind kind, String attempt, long at, ClientResponse response) {
    attempts.add(new AttemptResult(kind, attempt, at, response, true));
  }

  private InvariantChecks checks() {
    return new InvariantChecks(attempts, runLog);
  }

  private List<String> violated() {
    return checks().all().stream()
        .filter(result -> !result.holds())
        .map(InvariantResult::invariant)
        .toList();
  }

  @Test
  void allHoldInitially() {
    assertEquals(List.of(), violated());
    assertTrue(checks().revokedKey(REVOKED_AT).holds());
    assertTrue(checks().drainedBackend("b1", REVOKED_AT).holds());
  }

  @Test
  void secondRunIsAViolationUnlessTheRequestIsIdempotent() {
    ran("b2", "usual-" + RequestKind.STATUS, RequestKind.STATUS, 0);
    ran("b2", "usual-" + RequestKind.SUMMARY, RequestKind.SUMMARY, 0);
    assertEquals(List.of(), violated());
    ran("b2", "usual-" + RequestKind.CHAT, RequestKind.CHAT, 0);
    assertEquals(List.of("no request ran twice"), violated());
  }

  @Test
  void rejectionOfAnAttemptThatRanIsAViolation() {
    ClientResponse refusal = new ClientResponse(503, Map.of(), 0, List.of(), true, true);
    ended(RequestKind.CHAT, "refused", 0, refusal);
    assertEquals(List.of(), violated());
    ran("b1", "refused", RequestKind.CHAT, 0);
    assertEquals(List.of("what was refused has not run"), violated());
  }

  @Test
  void missingEventIsAViolation() {
    List<Integer> gap = List.of(1, 2, 4);
    ended(RequestKind.LOOKUP, "gap", 0, new ClientResponse(200, stamp("gap"), 1, gap, false, true));
    assertEquals(List.of("no stream has a gap"), violated());
  }

  @Test
  void completeStreamThatIsTooShortIsAViolation() {
    List<Integer> some = List.of(1, 2);
    ended(RequestKind.LOOKUP, "x", 0, new ClientResponse(200, stamp("x"), 1, some, true, true));
    assertEquals(List.of("no stream has a gap"), violated());
  }

  @Test
  void interruptedStreamIsNoViolation() {
    List<Integer> some = List.of(1, 2);
    ended(RequestKind.LOOKUP, "x", 0, new ClientResponse(200, stamp("x"), 1, some, false, true));
    assertEquals(List.of(), violated());
  }

  @Test
  void answerToAnotherRequestIsAViolation() {
    ClientResponse other = new ClientResponse(200, stamp("other"), 1, List.of(), true, true);
    ended(RequestKind.CHAT, "own", 0, other);
    assertEquals(List.of("every answer is a backend's own"), violated());
  }

  @Test
  void kindThatIsNeverAnsweredIsAViolation() {
    attempts.removeIf(attempt -> attempt.kind() == RequestKind.CHAT);
    assertEquals(List.of("every kind of request was answered"), violated());
  }

  @Test
  void revokedKeyMayRunUntilTheLimitOnly() {
    answered(RequestKind.REVOKED, "in time", REVOKE_LIMIT);
    ran("b1", "in time", RequestKind.REVOKED, REVOKE_LIMIT + MILLIS);
    assertTrue(checks().revokedKey(REVOKED_AT).holds());
    answered(RequestKind.REVOKED, "late", REVOKE_LIMIT + 1);
    ran("b1", "late", RequestKind.REVOKED, REVOKE_LIMIT + MILLIS);
    assertFalse(checks().revokedKey(REVOKED_AT).holds());
  }

  @Test
  void drainedBackendMayRunUntilTheLimitOnly() {
    ran("b1", "in time", RequestKind.CHAT, DRAIN_LIMIT);
    ran("b2", "elsewhere", RequestKind.CHAT, DRAIN_LIMIT + 1);
    assertTrue(checks().drainedBackend("b1", REVOKED_AT).holds());
    ran("b1", "late", RequestKind.CHAT, DRAIN_LIMIT + 1);
    assertFalse(checks().drainedBackend("b1", REVOKED_AT).holds());
    assertFalse(checks().drainedBackend("never used", REVOKED_AT).holds());
  }
}
