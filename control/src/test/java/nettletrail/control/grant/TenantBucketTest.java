package nettletrail.control.grant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import nettletrail.protocol.TenantUse;
import org.junit.jupiter.api.Test;

/** What the owner's bucket grants, credits and reserves. */
class TenantBucketTest {
  private static final long MILLIS = 1_000_000L;
  private static final GrantTerms TERMS = new GrantTerms(8, 0.1, 5_000, 1_000);
  private static final QuotaLimit LIMIT = new QuotaLimit(10_000, 10_000);
  private static final long CAPACITY = (long) TERMS.capacity(LIMIT);
  private static final DoorIncarnation ONE = new DoorIncarnation("one", 1);
  private static final DoorIncarnation OTHER = new DoorIncarnation("other", 1);

  private final TenantBucket bucket = new TenantBucket(TERMS, LIMIT, 0);
  private long now;
  private long lastRequest;

  @Test
  void newBucketIsEmptyAndRefillsAtTheRate() {
    assertEquals(0, request(ONE, 0, 1_000, 0));
    after(100);
    assertEquals(1_000, request(ONE, 0, 5_000, 0));
  }

  @Test
  void fullBucketGrantsItsCapacityAndNoMore() {
    after(60_000);
    assertEquals(CAPACITY, request(ONE, 0, 10 * CAPACITY, 0));
    assertEquals(0, request(OTHER, 0, 10 * CAPACITY, 0));
  }

  @Test
  void unusedTokensAreRenewedAndNotGrantedTwice() {
    after(60_000);
    request(ONE, 0, CAPACITY, 0);
    after(500);
    assertEquals(CAPACITY, request(ONE, 0, CAPACITY, CAPACITY));
    assertEquals(0, request(OTHER, 0, CAPACITY, 0));
  }

  @Test
  void tokensOfALostReplyAreCreditedAtTheNextRequest() {
    after(60_000);
    request(ONE, 0, CAPACITY, 0);
    assertEquals(0, request(ONE, 0, 0, 0));
    assertEquals(CAPACITY, request(OTHER, 0, CAPACITY, 0));
  }

  @Test
  void tokensOfADoorThatWantsLessStayOutstandingUntilItReportsThemDropped() {
    after(60_000);
    request(ONE, 0, CAPACITY, 0);
    assertEquals(1_000, request(ONE, 0, 1_000, CAPACITY));
    assertEquals(0, request(OTHER, 0, CAPACITY, 0));
    assertEquals(1_000, request(ONE, 0, 1_000, 1_000));
    assertTrue(request(OTHER, 0, CAPACITY, 0) >= CAPACITY - 2_000);
  }

  @Test
  void expiredTokensOfAnIdleDoorAreRefilledAndNotCredited() {
    after(60_000);
    request(ONE, 0, CAPACITY, 0);
    after(TERMS.outstandingMs(LIMIT) - 1);
    assertEquals(0, request(OTHER, 0, CAPACITY, 0));
    after(2);
    assertTrue(request(OTHER, 0, CAPACITY, 0) <= 20 * 10 + 20, "only what refilled since");
  }

  @Test
  void otherDoorsGetTheFullRateOnceAnIdleDoorsTokensHaveExpired() {
    after(60_000);
    request(ONE, 0, CAPACITY, 0);
    after(TERMS.outstandingMs(LIMIT));
    request(OTHER, 0, 1, 0);
    after(1_000);
    assertTrue(request(OTHER, 1, CAPACITY, 0) >= 10_000);
  }

  @Test
  void tokensOfADoorsFormerIncarnationStayOutstanding() {
    after(60_000);
    request(ONE, 0, CAPACITY, 0);
    after(100);
    assertEquals(0, request(new DoorIncarnation("one", 2), 0, CAPACITY, 0));
  }

  // Guards against: a door that counts from 0 again gets its used tokens a second time.
  @Test
  void tokensOfADoorWhoseCountWentBackAreNotCredited() {
    after(60_000);
    request(ONE, 0, CAPACITY, 0);
    request(ONE, 1_000, CAPACITY, CAPACITY - 1_000);
    assertEquals(0, request(ONE, 0, 0, 0));
    assertEquals(0, request(OTHER, 0, CAPACITY, 0));
    after(100);
    assertEquals(1_000, request(OTHER, 0, 1_000, 0));
  }

  @Test
  void staleRequestIsNotGranted() {
    after(60_000);
    TenantUse use = new TenantUse("acme", 0L, 100L, 0L, 0L);
    assertEquals(OptionalLong.of(100), bucket.request(ONE, 5, use, now));
    assertEquals(OptionalLong.empty(), bucket.request(ONE, 4, use, now));
    assertEquals(OptionalLong.empty(), bucket.request(ONE, 5, use, now));
  }

  @Test
  void lowerLimitCapsTheLevel() {
    after(60_000);
    QuotaLimit lower = new QuotaLimit(100, 100);
    bucket.updateLimit(lower, now);
    long capacity = (long) TERMS.capacity(lower);
    assertEquals(capacity, request(ONE, 0, CAPACITY, 0));
  }

  @Test
  void pressureIsTheUseOfTheLastPeriodInPerCentOfTheRate() {
    after(60_000);
    request(ONE, 0, CAPACITY, 0);
    request(ONE, 5_000, CAPACITY, CAPACITY - 5_000);
    request(OTHER, 0, 10, 0);
    after(1_100);
    assertEquals(50, bucket.pressure(now), 0.01);
    assertEquals(2, bucket.doorsServing(now));
  }

  @Test
  void pressureIsAtMostTheRateWhileTheBucketHasItsReserve() {
    after(60_000);
    request(ONE, 0, 15_000, 0);
    request(ONE, 15_000, 0, 0);
    after(1_100);
    assertEquals(100, bucket.pressure(now), 0.01);
  }

  @Test
  void pressureOfADepletedBucketMayExceedTheRate() {
    after(60_000);
    request(ONE, 0, 10 * CAPACITY, 0);
    request(ONE, CAPACITY, 10 * CAPACITY, 0);
    after(1_100);
    request(ONE, CAPACITY, 10 * CAPACITY, 0);
    assertTrue(bucket.pressure(now) > 100);
  }

  @Test
  void smallDemandIsMetInFullBesideALargeOneWhenTokensAreScarce() {
    after(60_000);
    request(ONE, 0, 100 * CAPACITY, 0);
    request(ONE, CAPACITY, 100 * CAPACITY, 0);
    after(100);
    request(OTHER, 0, 100, 0);
    after(100);
    assertEquals(100, request(OTHER, 0, 100, 0));
  }

  @Test
  void doorThatCannotBeCoveredGetsNothingWhileAnotherHasWaitedLonger() {
    request(ONE, 0, 5_000, 0);
    after(100);
    assertEquals(0, request(OTHER, 0, 900, 0), "half of a level of 1,000 does not cover it");
    assertEquals(1_000, request(ONE, 0, 5_000, 0));
    after(100);
    assertEquals(400, request(OTHER, 0, 400, 0));
  }

  @Test
  void doorThatWaitedLongestCollectsTokensUntilTheySuffice() {
    request(ONE, 0, 5_000, 0);
    long collected = 0;
    for (int step = 0; step < 5; step++) {
      after(100);
      collected = request(ONE, 0, 5_000, collected);
    }
    assertEquals(5_000, collected);
  }

  @Test
  void demandThatWasWithdrawnNoLongerHoldsTokensBack() {
    request(ONE, 0, 5_000, 0);
    after(100);
    assertEquals(1_000, request(ONE, 0, 5_000, 0));
    assertEquals(0, request(ONE, 0, 0, 1_000));
    assertEquals(0, request(ONE, 0, 0, 0));
    assertEquals(1_000, request(OTHER, 0, 1_000, 0));
  }

  @Test
  void prefetchIsDividedInProportionToWhatDoorsWant() {
    after(60_000);
    assertEquals(0.6 * CAPACITY, prefetch(ONE, CAPACITY), 1);
    long other = prefetch(OTHER, CAPACITY);
    assertEquals(0.2 * CAPACITY, other, 1, "the reserve is kept, the rest comes with a return");
    long renewed = prefetchAgain(ONE, CAPACITY, (long) (0.6 * CAPACITY));
    assertEquals(0.3 * CAPACITY, renewed, 1);
  }

  @Test
  void demandOfADoorThatStoppedAskingHoldsNothingBack() {
    after(60_000);
    request(ONE, 0, CAPACITY / 2, 0);
    after(TERMS.outstandingMs(LIMIT));
    assertEquals(0.6 * CAPACITY, prefetch(OTHER, CAPACITY), 1);
  }

  @Test
  void nothingIsPrefetchedOfAnEmptyBucket() {
    after(300);
    assertEquals(0, prefetch(ONE, CAPACITY));
    assertEquals(3_000, request(OTHER, 0, 3_000, 0));
  }

  @Test
  void manyDoorsCostNoMoreThanThoseThatLapse() {
    after(60_000);
    for (int door = 0; door < 300; door++) {
      request(new DoorIncarnation("door-" + door, 1), 0, 10, 0);
    }
    assertEquals(300, bucket.doorsServing(now));
    after(2_999);
    assertEquals(300, bucket.doorsServing(now));
    after(1);
    assertEquals(0, bucket.doorsServing(now));
  }

  private long prefetch(DoorIncarnation door, long wanted) {
    return prefetchAgain(door, wanted, 0);
  }

  private long prefetchAgain(DoorIncarnation door, long wanted, long unused) {
    lastRequest++;
    return bucket
        .request(door, lastRequest, new TenantUse("acme", 0L, wanted, unused, 0L), now)
        .orElseThrow();
  }

  private void after(long millis) {
    now += millis * MILLIS;
  }

  /** All that is wanted is for a queued request. */
  private long request(DoorIncarnation door, long used, long wanted, long unused) {
    lastRequest++;
    return bucket
        .request(door, lastRequest, new TenantUse("acme", used, wanted, unused, wanted), now)
        .orElseThrow();
  }
}
