package nettletrail.control.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import nettletrail.control.shard.AppliedChanges.Outcome;
import nettletrail.protocol.ConfigurationChange;
import nettletrail.protocol.OrderForward;
import org.junit.jupiter.api.Test;

/** Which retried requests are recognised, and the size of the list. */
class AppliedChangesTest {

  private static final int EDITION_STEP = 3;

  private static ByteBuffer digest(long ifMatch, String body) {
    ByteBuffer bytes = ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8));
    return AppliedChanges.digest(new OrderForward(1L, "PUT", "" + ifMatch, bytes), ifMatch);
  }

  /** Changes that made the editions 3, 6, 9 and so on, each built on the one before. */
  private static AppliedChanges historyOf(int orders) {
    AppliedChanges history = new AppliedChanges(List.of());
    for (long number = 1; number <= orders; number++) {
      long ifMatch = (number - 1) * EDITION_STEP;
      history = history.with(ifMatch + EDITION_STEP, digest(ifMatch, "order " + number));
    }
    return history;
  }

  private static Outcome outcome(AppliedChanges history, long ifMatch, String body) {
    return history.outcomeOf(ifMatch, digest(ifMatch, body));
  }

  @Test
  void givenAppliedChanges_whenSentAgain_thenEachIsKnownByItsEdition() {
    AppliedChanges history = historyOf(1_100);
    for (int number = 1; number <= 1_100; number++) {
      long ifMatch = (long) (number - 1) * EDITION_STEP;
      assertEquals(Outcome.APPLIED, outcome(history, ifMatch, "order " + number));
      assertEquals(ifMatch + EDITION_STEP, history.editionAfter(ifMatch));
    }
  }

  @Test
  void givenAppliedChanges_whenAnotherBuildsOnTheSameEdition_thenItWasNotApplied() {
    AppliedChanges history = historyOf(10);
    assertEquals(Outcome.NOT_APPLIED, outcome(history, 0, "other"));
    assertEquals(Outcome.NOT_APPLIED, outcome(history, 27, "other"));
    assertEquals(Outcome.NOT_APPLIED, outcome(history, 30, "new"));
    assertEquals(Outcome.NOT_APPLIED, outcome(history, 4, "on an edition that never was"));
    assertEquals(Outcome.NOT_APPLIED, outcome(new AppliedChanges(List.of()), 0, "first"));
  }

  @Test
  void givenMoreChangesThanAreRemembered_whenOneOfTheFirstIsSentAgain_thenItsOutcomeIsUnknown() {
    AppliedChanges history = historyOf(AppliedChanges.MAX_CHANGES + 5);
    assertEquals(AppliedChanges.MAX_CHANGES, history.changes().size());
    assertEquals(Outcome.UNKNOWN, outcome(history, 0, "order 1"));
    assertEquals(Outcome.UNKNOWN, outcome(history, 12, "order 5"));
    assertEquals(Outcome.APPLIED, outcome(history, 15, "order 6"));
    assertEquals(Outcome.NOT_APPLIED, outcome(history, 18, "other"));
  }

  @Test
  void givenFullDigestOfAnEarlierRelease_whenTheRequestIsSentAgain_thenItWasApplied()
      throws NoSuchAlgorithmException {
    MessageDigest complete = MessageDigest.getInstance("SHA-256");
    complete.update("PUT\n0\nbody".getBytes(StandardCharsets.UTF_8));
    ByteBuffer stored = ByteBuffer.wrap(complete.digest());
    AppliedChanges history = new AppliedChanges(List.of(new ConfigurationChange(3L, stored)));
    assertEquals(Outcome.APPLIED, outcome(history, 0, "body"));
    assertEquals(Outcome.NOT_APPLIED, outcome(history, 0, "other"));
  }

  @Test
  void givenManyChanges_whenEncoded_thenTheirSizeIsBounded() {
    assertTrue(encodedBytes(1_100) <= 22_500, encodedBytes(1_100) + " bytes");
    assertTrue(encodedBytes(AppliedChanges.MAX_CHANGES) <= 84_000);
    assertEquals(
        encodedBytes(AppliedChanges.MAX_CHANGES),
        encodedBytes(AppliedChanges.MAX_CHANGES + 100),
        200);
  }

  private static int encodedBytes(int orders) {
    ConfigurationState state = ConfigurationState.EMPTY;
    byte[] document = new byte[0];
    for (long edition = 1; edition <= orders; edition++) {
      ByteBuffer digest = digest(edition - 1, "order");
      state = state.after(new ConfigurationRules.CheckedDocument(edition, document), digest);
    }
    return state.encode().length;
  }
}
