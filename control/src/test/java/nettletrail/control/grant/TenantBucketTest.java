package nettletrail.control.grant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettletrail.control.grant.TenantBucket.Holder;
import nettletrail.protocol.TenantUse;
import org.junit.jupiter.api.Test;

/** What the owner's bucket counts, credits and keeps back. */
class TenantBucketTest {
  private static final long MILLIS = 1_000_000L;
  private static final GrantTerms TERMS = new GrantTerms(8, 0.1, 5_000, 1_000);
  private static final QuotaLimit LIMIT = new QuotaLimit(10_000, 10_000);
  private static final long CAPACITY = (long) TERMS.capacity(LIMIT);
  private static final Holder ONE = new Holder("one", 1);
  private static final Holder OTHER = new Holder("other", 1);

  private final TenantBucket bucket = new TenantBucket(TERMS, LIMIT, 0);
  private long now;
  private long request;

  @Test
  void givenANewOwnerWhenAskedAtOnceThenItHasNothing() {
    assertEquals(0, ask(ONE, 0, 1_000, 0));
    after(100);
    assertEquals(1_000, ask(ONE, 0, 5_000, 0));
  }

  @Test
  void givenAFullBucketWhenAskedForMoreThenItGrantsItsCapacityAndNoMore() {
    after(60_000);
    assertEquals(CAPACITY, ask(ONE, 0, 10 * CAPACITY, 0));
    assertEquals(0, ask(OTHER, 0, 10 * CAPACITY, 0));
  }

  @Test
  void givenATokenUnusedWhenTheDoorAsksAgainThenItIsRenewedAndNotGrantedTwice() {
    after(60_000);
    ask(ONE, 0, CAPACITY, 0);
    after(500);
    assertEquals(CAPACITY, ask(ONE, 0, CAPACITY, CAPACITY));
    assertEquals(0, ask(OTHER, 0, CAPACITY, 0));
  }

  @Test
  void givenALostReplyWhenTheDoorAsksAgainThenWhatItNeverGotIsCredited() {
    after(60_000);
    ask(ONE, 0, CAPACITY, 0);
    assertEquals(0, ask(ONE, 0, 0, 0));
    assertEquals(CAPACITY, ask(OTHER, 0, CAPACITY, 0));
  }

  @Test
  void givenADoorThatWantsLessWhenItAsksThenWhatItHoldsCountsUntilItSaysThatItIsGone() {
    after(60_000);
    ask(ONE, 0, CAPACITY, 0);
    assertEquals(1_000, ask(ONE, 0, 1_000, CAPACITY));
    assertEquals(0, ask(OTHER, 0, CAPACITY, 0));
    assertEquals(1_000, ask(ONE, 0, 1_000, 1_000));
    assertTrue(ask(OTHER, 0, CAPACITY, 0) >= CAPACITY - 2_000);
  }

  @Test
  void givenASilentDoorWhenItsTokensHaveSurelyRunOutThenTheyAreRefilledAndNotCredited() {
    after(60_000);
    ask(ONE, 0, CAPACITY, 0);
    after(TERMS.outstandingMs(LIMIT) - 1);
    assertEquals(0, ask(OTHER, 0, CAPACITY, 0));
    after(2);
    assertTrue(ask(OTHER, 0, CAPACITY, 0) <= 20 * 10 + 20, "only what refilled since");
  }

  @Test
  void givenASilentDoorWhenItsTokensHaveRunOutForASecondThenOthersHaveTheWholeRateAgain() {
    after(60_000);
    ask(ONE, 0, CAPACITY, 0);
    after(TERMS.outstandingMs(LIMIT));
    ask(OTHER, 0, 1, 0);
    after(1_000);
    assertTrue(ask(OTHER, 1, CAPACITY, 0) >= 10_000);
  }

  @Test
  void givenARestartedDoorWhenItAsksThenItsFormerLifesTokensStillCount() {
    after(60_000);
    ask(ONE, 0, CAPACITY, 0);
    after(100);
    assertEquals(0, ask(new Holder("one", 2), 0, CAPACITY, 0));
  }

  @Test
  void givenAnOldRequestWhenItArrivesLateThenItIsNotAnswered() {
    after(60_000);
    TenantUse use = new TenantUse("acme", 0L, 100L, 0L, 0L);
    assertEquals(100, bucket.ask(ONE, 5, use, now));
    assertEquals(-1, bucket.ask(ONE, 4, use, now));
    assertEquals(-1, bucket.ask(ONE, 5, use, now));
  }

  @Test
  void givenALowerLimitWhenItIsInForceThenTheLevelIsCutToIt() {
    after(60_000);
    QuotaLimit lower = new QuotaLimit(100, 100);
    bucket.limit(lower, now);
    long capacity = (long) TERMS.capacity(lower);
    assertEquals(capacity, ask(ONE, 0, CAPACITY, 0));
  }

  @Test
  void givenUseWhenAPeriodHasPassedThenPressureIsItsPartOfTheRate() {
    after(60_000);
    ask(ONE, 0, CAPACITY, 0);
    ask(ONE, 5_000, CAPACITY, CAPACITY - 5_000);
    ask(OTHER, 0, 10, 0);
    after(1_100);
    assertEquals(50, bucket.pressure(now), 0.01);
    assertEquals(2, bucket.doorsServing(now));
  }

  @Test
  void givenALargeRequestWhenTheBucketStillHoldsItsReserveThenPressureIsNotAboveTheRate() {
    after(60_000);
    ask(ONE, 0, 15_000, 0);
    ask(ONE, 15_000, 0, 0);
    after(1_100);
    assertEquals(100, bucket.pressure(now), 0.01);
  }

  @Test
  void givenASpentBucketWhenUseIsAboveTheRateThenPressureSaysSo() {
    after(60_000);
    ask(ONE, 0, 10 * CAPACITY, 0);
    ask(ONE, CAPACITY, 10 * CAPACITY, 0);
    after(1_100);
    ask(ONE, CAPACITY, 10 * CAPACITY, 0);
    assertTrue(bucket.pressure(now) > 100);
  }

  @Test
  void givenScarceTokensWhenSmallAndLargeWantsMeetThenTheSmallOneIsMetWhole() {
    after(60_000);
    ask(ONE, 0, 100 * CAPACITY, 0);
    ask(ONE, CAPACITY, 100 * CAPACITY, 0);
    after(100);
    ask(OTHER, 0, 100, 0);
    after(100);
    assertEquals(100, ask(OTHER, 0, 100, 0));
  }

  private void after(long millis) {
    now += millis * MILLIS;
  }

  /** All that is wanted is for a request that waits. */
  private long ask(Holder holder, long used, long wanted, long held) {
    request++;
    return bucket.ask(holder, request, new TenantUse("acme", used, wanted, held, wanted), now);
  }
}
