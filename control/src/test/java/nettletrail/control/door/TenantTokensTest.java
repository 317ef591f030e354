package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettletrail.protocol.TenantGrant;
import org.junit.jupiter.api.Test;

/** What a door wants of one tenant's quota, by its demand and its shortage. */
class TenantTokensTest {
  private static final long MILLIS = 1_000_000L;
  private static final long EXPIRES_AT = 60_000 * MILLIS;

  private long now = 5_000 * MILLIS;
  private final TenantTokens tokens = new TenantTokens("acme", now);

  @Test
  void nothingIsWantedWithoutDemand() {
    assertEquals(0, tokens.wanted(now));
    assertFalse(tokens.isActive(now));
  }

  @Test
  void shortageIsForgottenAfterItsExpiry() {
    assertFalse(tokens.take(100, now));
    assertEquals(100, tokens.shortage(now));
    now += 500 * MILLIS - 1;
    assertEquals(100, tokens.wanted(now));
    now += 1;
    assertEquals(0, tokens.wanted(now));
  }

  @Test
  void shortageEndsWhenItsRequestIsWithdrawn() {
    assertFalse(tokens.take(100, now));
    tokens.withdrawn(100);
    assertEquals(0, tokens.shortage(now));
    assertEquals(0, tokens.wanted(now));
  }

  @Test
  void shortageOfALargerRequestOutlastsTheWithdrawalOfASmallerOne() {
    assertFalse(tokens.take(100, now));
    assertFalse(tokens.take(40, now));
    tokens.withdrawn(40);
    assertEquals(100, tokens.shortage(now));
  }

  @Test
  void moreIsAskedAtOnceAfterAGrantThatCoversTheQueuedRequest() {
    assertFalse(tokens.take(100, now));
    tokens.report(now);
    grant(100);
    assertTrue(tokens.isGrantedInFull());
    tokens.report(now);
    grant(99);
    assertFalse(tokens.isGrantedInFull());
  }

  @Test
  void surplusGrowsFromReportToReportWhileTheShortageLasts() {
    grant(100);
    assertTrue(tokens.take(100, now));
    assertFalse(tokens.take(10, now));
    long first = tokens.report(now).getWantedTokens();
    long second = tokens.report(now).getWantedTokens();
    assertEquals(10 * (4 - 1), second - first);
  }

  @Test
  void demandDecaysWithTime() {
    grant(1_000);
    assertTrue(tokens.take(1_000, now));
    long atOnce = tokens.wanted(now);
    now += 3_000 * MILLIS;
    assertEquals(atOnce / Math.E, tokens.wanted(now), 1);
  }

  @Test
  void grantBelowWhatTheDoorCouldKeepReclaimsTokens() {
    grant(100);
    tokens.queued(100);
    tokens.report(now);
    grant(60);
    assertTrue(tokens.isReclaimed());
    assertFalse(tokens.isGrantedInFull());
    assertEquals(60, tokens.usable(now));
  }

  private void grant(long granted) {
    tokens.granted(new TenantGrant("acme", granted, 10.0, 2, true), EXPIRES_AT);
  }
}
