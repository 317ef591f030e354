package nettletrail.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import nettletrail.decision.Gateway.AttemptReport;
import nettletrail.decision.Gateway.Backend;
import nettletrail.decision.Gateway.DedupScope;
import nettletrail.decision.Gateway.DiscoveryState;
import nettletrail.decision.Gateway.Idempotency;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.decision.Gateway.Plan;
import nettletrail.decision.Gateway.Request;
import nettletrail.decision.Gateway.RequestClass;
import nettletrail.decision.Gateway.Settings;
import org.junit.jupiter.api.Test;

class GatewayDeciderTest {
  static final long MS = 1_000_000L;
  static final long SECOND = 1_000 * MS;
  static final Plan FREE = new Plan(0, 0, 0, 0, 0, 0, 0, 0, 1);

  /** Runs the decisions of one gateway: records the actions and keeps a clock. */
  static class Harness implements Gateway.Actions {
    final List<String> log = new ArrayList<>();
    final Map<Long, Long> sentTo = new HashMap<>();
    final Map<Long, Integer> attempts = new HashMap<>();
    final Map<Long, Long> timeouts = new HashMap<>();
    long now = 1_000 * SECOND;
    final GatewayDecider decider;

    Harness(int gateways, Idempotency effect, Plan plan) {
      this(gateways, effect, plan, 3);
    }

    Harness(int gateways, Idempotency effect, Plan plan, int backends) {
      this(gateways, effect, plan, backends, 7);
    }

    Harness(int gateways, Idempotency effect, Plan plan, int backends, long seed) {
      decider = new GatewayDecider(settings(gateways, effect, plan, seed), now, this);
      List<Backend> list = new ArrayList<>();
      for (int i = 1; i <= backends; i++) {
        list.add(backend(i, DiscoveryState.READY, 0));
      }
      decider.onBackends(now, true, list);
    }

    void arrive(long id, long customer, double units, int setSize) {
      decider.onRequest(now, new Request(id, 0, 0, customer, units, setSize, 3 * SECOND));
    }

    void answer(long id, Outcome outcome, int percent, double settled) {
      long backend = sentTo.get(id);
      boolean ended = outcome == Outcome.OK;
      decider.onAttemptEnd(
          now,
          new AttemptReport(
              id, attempts.get(id) - 1, backend, outcome, ended, 50 * MS, percent, settled, null));
    }

    void ok(long id) {
      answer(id, Outcome.OK, -1, 0);
    }

    /** Lets time pass, with the periodic checks of the queue. */
    void pass(long ns) {
      for (long until = now + ns; now < until; ) {
        now += 10 * MS;
        decider.onTimer(now, 0);
      }
    }

    boolean sent(long id) {
      return sentTo.containsKey(id);
    }

    boolean rejected(long id) {
      return log.contains("refuse " + id);
    }

    boolean failed(long id) {
      return log.contains("fail " + id);
    }

    @Override
    public void send(long requestId, long backendId, long timeoutNanos) {
      log.add("send " + requestId);
      timeouts.put(requestId, timeoutNanos);
      sentTo.put(requestId, backendId);
      attempts.merge(requestId, 1, Integer::sum);
    }

    @Override
    public void reject(long requestId, long retryAfterNanos) {
      log.add("refuse " + requestId);
    }

    @Override
    public void fail(long requestId) {
      log.add("fail " + requestId);
    }

    @Override
    public void startTimer(int token, long ns) {}

    @Override
    public void subscribeBackends() {
      log.add("follow");
    }

    @Override
    public void log(String line) {}
  }

  static Settings settings(int gateways, Idempotency effect, Plan plan) {
    return settings(gateways, effect, plan, 7);
  }

  static Settings settings(int gateways, Idempotency effect, Plan plan, long seed) {
    RequestClass requestClass =
        new RequestClass(2 * SECOND, 1, 0, effect, DedupScope.ALL, 1 * SECOND);
    return new Settings(
        gateways,
        0,
        seed,
        2 * MS,
        4,
        false,
        0.2,
        10 * SECOND,
        2,
        2 * SECOND,
        0,
        SECOND,
        List.of(requestClass),
        List.of(plan));
  }

  static Backend backend(long id, DiscoveryState state, long startedAt) {
    return new Backend(id, 0, 0, 0, state, 1, startedAt);
  }

  static Plan quota(double rate, double burst) {
    return new Plan(rate, burst, 0, 0, 0, 0, 1, 0, 1);
  }

  /** One backend whose only slot request 1 holds, so that all later requests are queued. */
  static Harness busyHarness() {
    Harness harness = new Harness(12, Idempotency.IDEMPOTENT, FREE, 1);
    harness.arrive(1, 99, 1, 2);
    assertTrue(harness.sent(1));
    return harness;
  }

  /**
   * Answers the requests in flight, oldest first, and returns the order in which all were sent from
   * now on.
   */
  static List<Long> drain(Harness harness, long first) {
    int mark = harness.log.size();
    harness.ok(first);
    List<Long> order = new ArrayList<>();
    for (int i = mark; i < harness.log.size(); i++) {
      long id = Long.parseLong(harness.log.get(i).substring("send ".length()));
      order.add(id);
      harness.ok(id);
    }
    return order;
  }

  @Test
  void sendsTheCustomerWithTheLowestVirtualTimeFirst() {
    Harness harness = busyHarness();
    harness.arrive(11, 1, 4, 2);
    harness.arrive(12, 1, 4, 2);
    harness.arrive(21, 2, 1, 2);
    harness.arrive(22, 2, 1, 2);
    assertEquals(List.of(11L, 21L, 22L, 12L), drain(harness, 1));
  }

  @Test
  void largeRequestsAreChargedMoreThanTheirUnits() {
    Harness harness = busyHarness();
    harness.arrive(11, 1, 4, 2);
    harness.arrive(12, 1, 4, 2);
    for (long id = 21; id <= 26; id++) {
      harness.arrive(id, 2, 1, 2);
    }
    List<Long> order = drain(harness, 1);
    assertTrue(order.indexOf(12L) > 5, "by units alone it would be the sixth: " + order);
  }

  @Test
  void settlesTheChargeWithTheActualUnits() {
    Harness harness = busyHarness();
    harness.arrive(11, 1, 1, 2);
    harness.arrive(12, 1, 1, 2);
    harness.arrive(21, 2, 1, 2);
    harness.arrive(22, 2, 2, 2);
    harness.arrive(23, 2, 1, 2);
    harness.ok(1);
    assertTrue(harness.sent(11));
    int mark = harness.log.size();
    harness.answer(11, Outcome.OK, -1, 6);
    while (!harness.sent(12)) {
      harness.ok(
          Long.parseLong(harness.log.get(harness.log.size() - 1).substring("send ".length())));
    }
    assertTrue(
        harness.sent(22) && harness.sent(23),
        "customer 1 used more than it had reported: " + harness.log);
    assertTrue(mark < harness.log.indexOf("send 12"));
  }

  @Test
  void aReturningCustomerStartsAtTheLowestVirtualTimeInTheQueue() {
    Harness harness = busyHarness();
    for (long id = 11; id <= 14; id++) {
      harness.arrive(id, 1, 5, 2);
    }
    harness.ok(1);
    assertTrue(harness.sent(11) && !harness.sent(14));
    for (long id = 21; id <= 24; id++) {
      harness.arrive(id, 2, 1, 2);
    }
    // Customer 2 never sent anything, yet gets no credit for the time it was absent.
    List<Long> order = drain(harness, 11);
    assertEquals(13L, order.get(0), order.toString());
  }

  @Test
  void eachGatewayAdmitsItsPartOfTheTokenBucket() {
    Harness harness = new Harness(2, Idempotency.IDEMPOTENT, quota(1, 4));
    int sent = 0;
    for (long id = 1; id <= 20; id++) {
      harness.arrive(id, 5, 1, 2);
      sent += harness.sent(id) ? 1 : 0;
    }
    assertTrue(harness.sent(1) && harness.sent(2), "its part of the bucket is two");
    assertTrue(sent <= 4, "overdrawn by one, rarely by two: " + sent);
    harness.pass(6 * SECOND);
    harness.arrive(21, 5, 1, 2);
    assertTrue(harness.sent(21), "refills at its part of the rate before the first reading");
  }

  /**
   * A bucket of 3 over 60 gateways has no even part: an infrequent customer must still be admitted
   * at each gateway.
   */
  @Test
  void aPartBelowOneRequestStillAdmitsTheFirst() {
    for (int seed = 0; seed < 60; seed++) {
      Harness harness = new Harness(60, Idempotency.IDEMPOTENT, quota(1, 3), 3, seed);
      harness.arrive(1, 5, 1, 60);
      assertTrue(harness.sent(1));
      harness.answer(1, Outcome.OK, 0, 0);
    }
  }

  /** Sends requests with a reading in each period; returns how many were admitted. */
  static int countAdmitted(int percent, boolean repeat) {
    Harness harness = new Harness(4, Idempotency.IDEMPOTENT, quota(4, 8));
    int in = 0;
    long id = 1;
    for (int tick = 0; tick < 400; tick++) {
      harness.pass(50 * MS);
      harness.arrive(id, 5, 1, 4);
      if (harness.sent(id)) {
        in++;
        boolean tell = !repeat || tick < 40;
        harness.answer(id, Outcome.OK, tell ? percent : -1, 0);
      }
      id++;
    }
    return in;
  }

  @Test
  void admittedShareGrowsWithMeteredRoomAndShrinksOverQuota() {
    int room = countAdmitted(50, false);
    int beyond = countAdmitted(150, false);
    assertTrue(room > 1.5 * beyond, room + " admitted with room, " + beyond + " over quota");
    assertTrue(beyond <= 4 * 20 / 4 + 4, "an even part over the quota: " + beyond);
  }

  @Test
  void appliesARepeatedReadingOnce() {
    Harness once = new Harness(4, Idempotency.IDEMPOTENT, quota(4, 40));
    Harness often = new Harness(4, Idempotency.IDEMPOTENT, quota(4, 40));
    for (Harness harness : List.of(once, often)) {
      for (long id = 1; id <= 30; id++) {
        harness.arrive(id, 5, 1, 4);
      }
      for (long id = 1; id <= 10; id++) {
        harness.answer(id, Outcome.OK, harness == often || id == 1 ? 50 : -1, 0);
      }
      harness.pass(4 * SECOND);
      for (long id = 31; id <= 60; id++) {
        harness.arrive(id, 5, 1, 4);
      }
    }
    assertEquals(once.log, often.log);
  }

  @Test
  void neitherRetriesNorRejectsANonIdempotentRequestThatMayHaveRun() {
    for (Outcome outcome : Outcome.values()) {
      if (outcome == Outcome.OK) {
        continue;
      }
      Harness harness = new Harness(2, Idempotency.NOT_IDEMPOTENT, FREE);
      harness.arrive(1, 5, 1, 2);
      harness.answer(1, outcome, -1, 0);
      if (outcome.mayHaveRun) {
        assertEquals(List.of("send 1", "fail 1"), harness.log, outcome.toString());
      } else {
        assertEquals(List.of("send 1", "send 1"), harness.log, outcome.toString());
      }
    }
  }

  @Test
  void retriesAKeyedRequestOnlyWithinItsDedupWindow() {
    Harness harness = new Harness(2, Idempotency.KEYED, FREE);
    harness.arrive(1, 5, 1, 2);
    harness.pass(500 * MS);
    harness.answer(1, Outcome.RESET, -1, 0);
    assertEquals(List.of("send 1", "send 1"), harness.log);
    harness.pass(500 * MS);
    harness.answer(1, Outcome.RESET, -1, 0);
    assertEquals(List.of("send 1", "send 1", "refuse 1"), harness.log);
  }

  @Test
  void answersAQueuedRequestBeforeItsDeadline() {
    Harness harness = new Harness(2, Idempotency.NOT_IDEMPOTENT, FREE, 0);
    harness.arrive(1, 5, 1, 2);
    assertFalse(harness.rejected(1));
    harness.pass(3 * SECOND);
    assertEquals(List.of("refuse 1"), harness.log);
  }

  @Test
  void rejectsOnArrivalWhatTheQueueLeavesNoTimeFor() {
    Harness harness = busyHarness();
    long id = 100;
    int rejectedAtOnce = 0;
    long out = 1;
    for (int i = 0; i < 60; i++) {
      for (int j = 0; j < 8; j++) {
        int mark = harness.log.size();
        harness.arrive(++id, 1 + j, 1, 2);
        rejectedAtOnce += harness.log.size() > mark && harness.rejected(id) ? 1 : 0;
      }
      harness.pass(100 * MS);
      int mark = harness.log.size();
      harness.ok(out);
      for (String line : harness.log.subList(mark, harness.log.size())) {
        out = line.startsWith("send ") ? Long.parseLong(line.substring(5)) : out;
      }
    }
    assertTrue(rejectedAtOnce > 20, "rejected on arrival: " + rejectedAtOnce);
  }

  @Test
  void aClassThatWasSlowIsStillSent() {
    Harness harness = new Harness(12, Idempotency.IDEMPOTENT, FREE, 1);
    for (long id = 1; id <= 80; id++) {
      harness.arrive(id, 5, 1, 2);
      harness.decider.onAttemptEnd(
          harness.now, new AttemptReport(id, 0, 1, Outcome.OK, true, 2 * SECOND, -1, 0, null));
      harness.pass(6 * SECOND);
    }
    harness.arrive(101, 5, 1, 2);
    assertTrue(harness.sent(101));
    harness.arrive(102, 5, 1, 2);
    harness.arrive(103, 5, 1, 2);
    assertFalse(
        harness.rejected(102) || harness.rejected(103),
        "the last responses took as long as the target latency");
  }

  @Test
  void evictsIdleCustomersOnlyWithAFullTokenBucket() {
    Harness harness = new Harness(1, Idempotency.IDEMPOTENT, quota(0.01, 2));
    harness.arrive(1, 5, 1, 1);
    harness.arrive(2, 5, 1, 1);
    harness.ok(1);
    harness.ok(2);
    harness.pass(90 * SECOND);
    int sent = 0;
    for (long id = 3; id <= 12; id++) {
      harness.arrive(id, 5, 1, 1);
      sent += harness.sent(id) ? 1 : 0;
    }
    assertTrue(sent <= 2, "eviction would have refilled its bucket: " + sent);
  }

  @Test
  void aCustomerThatCannotBeEvictedDoesNotBlockOthers() {
    Harness harness = new Harness(1, Idempotency.IDEMPOTENT, quota(0.01, 2));
    harness.arrive(1, 1, 2, 1); // its bucket takes 200 s to refill
    harness.ok(1);
    for (long id = 2; id <= 101; id++) {
      harness.arrive(id, id, 0.001, 1);
      harness.ok(id);
    }
    assertEquals(101, harness.decider.customers());
    harness.pass(60 * SECOND);
    for (long id = 102; id <= 202; id++) {
      harness.arrive(id, 102, 0.001, 1);
    }
    assertEquals(2, harness.decider.customers(), "the one in debt and the one that sends now");
  }

  @Test
  void answersAtOnceIfTheDeadlineIsImminent() {
    Harness harness = new Harness(2, Idempotency.NOT_IDEMPOTENT, FREE, 0);
    harness.decider.onRequest(harness.now, new Request(1, 0, 0, 5, 1, 2, 0));
    assertEquals(List.of("refuse 1"), harness.log);
  }

  @Test
  void failsAnAttemptThatTimesOutAtTheClientsDeadline() {
    Harness harness = new Harness(2, Idempotency.NOT_IDEMPOTENT, FREE);
    harness.arrive(1, 5, 1, 2);
    harness.pass(3 * SECOND);
    harness.answer(1, Outcome.TIMED_OUT, -1, 0);
    assertEquals(List.of("send 1", "fail 1"), harness.log);
    harness.decider.onRequestCancelled(harness.now, 1);
    assertEquals(2, harness.log.size(), "a late event for an ended request has no effect");
  }

  @Test
  void aDrainingBackendGetsNoNewRequestsUntilItIsReady() {
    Harness harness = new Harness(2, Idempotency.IDEMPOTENT, FREE, 1);
    harness.decider.onBackends(harness.now, false, List.of(backend(1, DiscoveryState.DRAINING, 0)));
    harness.arrive(1, 5, 1, 2);
    assertFalse(harness.sent(1));
    harness.decider.onBackends(harness.now, false, List.of(backend(1, DiscoveryState.READY, 0)));
    assertTrue(harness.sent(1), "the drain was cancelled");
    harness.decider.onBackends(harness.now, true, List.of(backend(2, DiscoveryState.READY, 0)));
    harness.arrive(2, 5, 1, 2);
    assertEquals(2L, harness.sentTo.get(2L), "a backend absent from a whole list is gone");
  }

  @Test
  void aNewStartTimeMakesABackendCold() {
    Harness harness = new Harness(1, Idempotency.IDEMPOTENT, FREE, 2);
    assertTrue(sentToFirst(harness, 1) > 60);
    harness.decider.onBackends(
        harness.now, false, List.of(backend(1, DiscoveryState.READY, harness.now)));
    int cold = sentToFirst(harness, 1000);
    assertTrue(cold >= 4 && cold <= 60, "sent to the cold backend: " + cold);
  }

  /** Of 160 requests, eight in flight at a time over two seconds, how many go to backend 1. */
  static int sentToFirst(Harness harness, long id) {
    int first = 0;
    for (int round = 0; round < 20; round++) {
      for (int i = 0; i < 8; i++) {
        harness.arrive(id + i, 5, 1, 2);
        first += harness.sentTo.getOrDefault(id + i, 0L) == 1 ? 1 : 0;
      }
      harness.pass(100 * MS);
      for (int i = 0; i < 8; i++) {
        harness.ok(id++);
      }
    }
    return first;
  }

  @Test
  void ejectsAnUnreachableBackendAndProbesItAgain() {
    Harness harness = new Harness(1, Idempotency.IDEMPOTENT, FREE, 3);
    harness.arrive(1, 5, 1, 2);
    long dead = harness.sentTo.get(1L);
    harness.answer(1, Outcome.CONNECT_FAILED, -1, 0);
    assertFalse(harness.sentTo.get(1L) == dead);
    for (long id = 2; id <= 6; id++) {
      harness.arrive(id, 5, 1, 2);
      assertFalse(harness.sentTo.get(id) == dead);
    }
    harness.pass(SECOND);
    int back = 0;
    for (long id = 7; id <= 20; id++) {
      harness.arrive(id, 5, 1, 2);
      back += harness.sentTo.get(id) == dead ? 1 : 0;
    }
    assertEquals(1, back, "one probe at a time");
  }

  @Test
  void ejectsABackendAfterThreeResetsButNotAfterOne() {
    Harness harness = new Harness(1, Idempotency.NOT_IDEMPOTENT, FREE, 2);
    long id = 0;
    for (int broken = 0; broken < 3; broken++) {
      long first = ++id;
      long second = ++id;
      harness.arrive(first, 5, 1, 2);
      harness.arrive(second, 5, 1, 2);
      assertEquals(
          3L, harness.sentTo.get(first) + harness.sentTo.get(second), "both backends are in use");
      harness.answer(first, harness.sentTo.get(first) == 1 ? Outcome.RESET : Outcome.OK, -1, 0);
      harness.answer(second, harness.sentTo.get(second) == 1 ? Outcome.RESET : Outcome.OK, -1, 0);
    }
    for (int i = 0; i < 20; i++) {
      harness.arrive(++id, 5, 1, 2);
      assertEquals(2L, harness.sentTo.get(id));
      harness.ok(id);
    }
  }

  @Test
  void aPartOfACapBelowOneSlotIsOneSlot() {
    Harness harness = new Harness(8, Idempotency.IDEMPOTENT, new Plan(0, 0, 2, 0, 0, 0, 1, 0, 1));
    harness.pass(
        10 * SECOND); // earlier, two at once would indicate a customer that asks for several caps
    harness.arrive(1, 5, 1, 8);
    harness.arrive(2, 5, 1, 8);
    assertFalse(harness.sent(2), "a quarter of a slot is rounded up to one");
    harness.ok(1);
    assertTrue(harness.sent(2), "it was queued for the slot");
    harness.ok(2);
    harness.pass(10 * SECOND);
    harness.arrive(3, 5, 1, 8);
    assertTrue(harness.sent(3), "the slot is used again when it is free");
  }

  @Test
  void enforcesTheCeilingInEvenPartsAndStartsItEmptyAfterARestart() {
    Plan plan = new Plan(100, 100, 0, 2, 8, 2, 1, 0, 1);
    Harness harness = new Harness(2, Idempotency.IDEMPOTENT, plan);
    for (long id = 1; id <= 10; id++) {
      harness.arrive(id, 5, 1, 2);
    }
    assertEquals(
        1,
        harness.sentTo.size(),
        "only the part of the overdraft: what was spent before the restart is unknown");
    harness.pass(20 * SECOND);
    for (long id = 11; id <= 30; id++) {
      harness.arrive(id, 5, 1, 2);
    }
    assertEquals(5, harness.sentTo.size(), "the part of a full token bucket");
  }

  /**
   * Nothing was spent of it since the start: with many new customers, rejecting their first
   * requests cost most.
   */
  @Test
  void aCustomerFirstSeenLateGetsTheCeilingRefilledSinceTheStart() {
    Harness harness =
        new Harness(2, Idempotency.IDEMPOTENT, new Plan(100, 100, 0, 2, 8, 2, 1, 0, 1));
    harness.pass(20 * SECOND);
    for (long id = 1; id <= 10; id++) {
      harness.arrive(id, 5, 1, 2);
    }
    assertEquals(4, harness.sentTo.size(), "the part of a full token bucket");
  }

  @Test
  void aQueuedRequestDoesNotLetTheCeilingRefill() {
    Plan plan = new Plan(100, 100, 0, 2, 8, 2, 1, 0, 1);
    Harness harness = new Harness(2, Idempotency.IDEMPOTENT, plan, 1);
    harness.arrive(1, 5, 1, 2);
    harness.ok(1);
    harness.pass(20 * SECOND);
    harness.decider.onBackends(harness.now, false, List.of(backend(1, DiscoveryState.DRAINING, 0)));
    for (long id = 11; id <= 14; id++) {
      harness.arrive(id, 5, 1, 2);
    }
    harness.pass(SECOND);
    for (long id = 21; id <= 24; id++) {
      harness.arrive(id, 5, 1, 2);
    }
    harness.decider.onBackends(harness.now, false, List.of(backend(1, DiscoveryState.READY, 0)));
    assertEquals(1 + 4, harness.sentTo.size(), harness.log.toString());
  }

  @Test
  void attemptsInFlightStayWithinThisGatewaysPartOfTheCap() {
    Plan plan = new Plan(0, 0, 4, 0, 0, 0, 1, 0, 1);
    Harness harness = new Harness(2, Idempotency.IDEMPOTENT, plan);
    for (long id = 1; id <= 4; id++) {
      harness.arrive(id, 5, 1, 2);
    }
    assertEquals(2, harness.sentTo.size());
    harness.ok(1);
    assertEquals(3, harness.sentTo.size());
  }

  /** Measured by a token bucket, half of what a cap allows was rejected. */
  @Test
  void queuesRequestsOverACapWhileTheyCanMeetTheirTarget() {
    Harness harness = new Harness(1, Idempotency.IDEMPOTENT, new Plan(0, 0, 2, 0, 0, 0, 1, 0, 1));
    for (long id = 1; id <= 5; id++) {
      harness.arrive(id, 5, 1, 1);
    }
    assertEquals(2, harness.sentTo.size());
    assertFalse(harness.rejected(3) || harness.rejected(4) || harness.rejected(5));
    harness.ok(1);
    harness.ok(2);
    assertTrue(harness.sent(3) && harness.sent(4));
    for (long id = 6; id <= 60; id++) {
      harness.arrive(id, 5, 1, 1);
    }
    assertTrue(harness.rejected(60), "no slot becomes free in time");
  }

  /** A connection that went silent held a customer's only slot until its client's deadline. */
  @Test
  void aSilentAttemptUnderACapTimesOutAndFreesItsSlot() {
    Harness harness = new Harness(1, Idempotency.IDEMPOTENT, new Plan(0, 0, 1, 0, 0, 0, 1, 0, 1));
    harness.arrive(1, 5, 1, 1);
    long aim = settings(1, Idempotency.IDEMPOTENT, FREE, 7).classes().get(0).targetLatencyNanos();
    assertEquals(aim * 3 / 2, harness.timeouts.get(1L));
    Harness free = new Harness(1, Idempotency.IDEMPOTENT, FREE);
    free.arrive(1, 5, 1, 1);
    assertEquals(
        0, free.timeouts.get(1L), "without a cap, an attempt cut short would only run twice");
  }

  /** A part rounded up at each of several gateways exceeds the cap in total. */
  @Test
  void aPartOfACapIsRoundedDownToWholeSlots() {
    Harness harness = new Harness(2, Idempotency.IDEMPOTENT, new Plan(0, 0, 3, 0, 0, 0, 1, 0, 1));
    harness.arrive(1, 5, 1, 2);
    harness.arrive(2, 5, 1, 2);
    assertEquals(1, harness.sentTo.size());
  }

  /** Runs a seeded random sequence of events and returns all actions. */
  static List<String> randomRun(long seed, Idempotency effect) {
    Harness harness = new Harness(3, effect, new Plan(20, 20, 0, 40, 40, 4, 1, 0, 1), 4);
    SplittableRandom random = new SplittableRandom(seed);
    List<Long> open = new ArrayList<>();
    Map<Long, Integer> finals = new HashMap<>();
    Map<Long, Long> receivedAt = new HashMap<>();
    Map<Long, Boolean> mayHaveRun = new HashMap<>();
    long id = 0;
    int mark = 0;
    for (int step = 0; step < 3000; step++) {
      harness.pass(10 * MS);
      if (random.nextInt(2) == 0) {
        receivedAt.put(++id, harness.now);
        harness.arrive(id, 1 + random.nextInt(4), 1 + random.nextInt(3), 3);
      }
      if (!open.isEmpty() && random.nextInt(2) == 0) {
        long which = open.remove(random.nextInt(open.size()));
        Outcome outcome =
            random.nextInt(3) > 0
                ? Outcome.OK
                : Outcome.values()[1 + random.nextInt(Outcome.values().length - 1)];
        if (outcome == Outcome.OK) {
          finals.merge(which, 1, Integer::sum);
        }
        if (outcome.mayHaveRun) {
          mayHaveRun.put(which, true);
        }
        harness.answer(which, outcome, random.nextInt(200), random.nextInt(4));
      }
      if (random.nextInt(100) == 0) {
        DiscoveryState state = DiscoveryState.values()[random.nextInt(3)];
        harness.decider.onBackends(
            harness.now, false, List.of(backend(1 + random.nextInt(4), state, 0)));
      }
      for (; mark < harness.log.size(); mark++) {
        String[] words = harness.log.get(mark).split(" ");
        long which = Long.parseLong(words[1]);
        assertFalse(finals.containsKey(which), "acts on the ended request " + which);
        boolean ran = mayHaveRun.getOrDefault(which, false);
        if (words[0].equals("send")) {
          assertFalse(open.contains(which), "two attempts out for " + which);
          assertFalse(
              ran && effect == Idempotency.NOT_IDEMPOTENT,
              "retried though it may have run: " + which);
          open.add(which);
        } else {
          assertFalse(
              ran && effect == Idempotency.NOT_IDEMPOTENT && words[0].equals("refuse"),
              "rejected " + which);
          assertTrue(
              harness.now <= receivedAt.get(which) + 3 * SECOND
                  || ran
                  || open.contains(which)
                  || harness.attempts.getOrDefault(which, 0) > 0,
              "late final answer for " + which);
          finals.merge(which, 1, Integer::sum);
        }
      }
    }
    return harness.log;
  }

  @Test
  void sameEventsAndSeedGiveTheSameValidActions() {
    for (Idempotency effect : Idempotency.values()) {
      for (long seed = 1; seed <= 5; seed++) {
        List<String> first = randomRun(seed, effect);
        assertTrue(first.size() > 1000);
        assertEquals(first, randomRun(seed, effect));
      }
    }
  }

  @Test
  void invalidArgumentsAreRejectedByFieldName() {
    assertEquals(
        "Request.units is out of range",
        assertThrows(
                IllegalArgumentException.class, () -> new Request(1, 0, 0, 1, Double.NaN, 1, 1))
            .getMessage());
    assertEquals(
        "Settings.classes is missing",
        assertThrows(
                IllegalArgumentException.class,
                () -> new Settings(1, 0, 7, 1, 1, false, 0.2, 1, 2, 1, 0, 1, null, List.of()))
            .getMessage());
    assertEquals(
        "settings is missing",
        assertThrows(IllegalArgumentException.class, () -> new GatewayDecider(null, 0, null))
            .getMessage());
  }

  /**
   * Hundreds of gateways that each sent a cold backend its first request at once overloaded it.
   * Within the overload span they may together send it no more than the overload factor times its
   * share of what a warm one gets.
   */
  @Test
  void manyGatewaysTogetherDoNotOverloadAColdBackend() {
    int gateways = 400;
    int backends = 20;
    SplittableRandom random = new SplittableRandom(5);
    List<Harness> harnesses = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      harnesses.add(new Harness(gateways, Idempotency.IDEMPOTENT, FREE, backends, i));
    }
    long started = harnesses.get(0).now;
    for (Harness harness : harnesses) {
      harness.decider.onBackends(
          started, false, List.of(backend(1, DiscoveryState.READY, started)));
    }
    int toCold = 0;
    int toAll = 0;
    long id = 1;
    for (int ms = 0;
        ms < 2000;
        ms++) { // 2 s is the overload span; a gateway sends 2 per second on average
      for (Harness harness : harnesses) {
        harness.now = started + ms * MS;
        if (random.nextDouble() < 0.002) {
          harness.arrive(id, 1, 1, gateways);
          toCold += harness.sentTo.get(id) == 1 ? 1 : 0;
          toAll++;
          harness.ok(id++);
        }
      }
    }
    double warm = (double) toAll / backends;
    assertTrue(toAll > 1000, "the load was sent: " + toAll);
    assertTrue(
        toCold < 2 * 0.3 * warm, toCold + " to the cold backend, " + warm + " to a warm one");
  }

  /**
   * In overload, one backend tells a gateway among many too little, and ejecting each held up the
   * busy gateways. The limit on all attempts in flight from a gateway shrinks when responses are
   * slow, whichever backend they come from.
   */
  @Test
  void totalInFlightLimitShrinksWhenTheFleetIsSlow() {
    Harness harness = new Harness(20, Idempotency.IDEMPOTENT, FREE, 40);
    int before = burst(harness, 1_000);
    for (long id = 1; id <= 60; id++) {
      harness.arrive(id, 5, 1, 2);
      if (harness.sent(id)) {
        harness.now += 100 * MS;
        harness.decider.onAttemptEnd(
            harness.now,
            new AttemptReport(
                id, 0, harness.sentTo.get(id), Outcome.OK, true, 1_500 * MS, -1, 0, null));
      }
    }
    int after = burst(harness, 2_000);
    assertTrue(before >= 10, "an idle fleet accepts a burst: " + before);
    assertTrue(after >= 1 && after <= before / 2, "limit reduced to " + after + " from " + before);
  }

  /**
   * On real sockets a slow start cut the limit to 1.6, and it stayed there: one request at a time
   * from then on.
   */
  @Test
  void totalInFlightLimitGrowsAgainFromItsMinimum() {
    Harness harness = new Harness(2, Idempotency.IDEMPOTENT, FREE, 9);
    harness.arrive(1, 5, 1, 2);
    harness.arrive(2, 5, 1, 2);
    harness.now += 100 * MS;
    harness.decider.onAttemptEnd(
        harness.now,
        new AttemptReport(1, 0, harness.sentTo.get(1L), Outcome.OK, true, 1_500 * MS, -1, 0, null));
    harness.ok(2);
    for (long id = 3; id <= 60; id++) {
      harness.arrive(id, 5, 1, 2);
      harness.ok(id);
    }
    int after = burst(harness, 2_000);
    assertTrue(after >= 4, "limit after recovery: " + after);
  }

  /** How many of 30 simultaneous requests are sent; they are answered afterwards. */
  static int burst(Harness harness, long first) {
    int sent = 0;
    for (long id = first; id < first + 30; id++) {
      harness.arrive(id, 5, 1, 2);
    }
    for (long id = first; id < first + 30; id++) {
      sent += harness.sent(id) ? 1 : 0;
    }
    for (long id = first; id < first + 30; id++) {
      if (harness.sent(id)) {
        harness.ok(id);
      } else {
        harness.decider.onRequestCancelled(harness.now, id);
      }
    }
    return sent;
  }

  /**
   * Incident i0c5252: 404 gateways, each with nothing in flight, all sent to the larger of two
   * kinds of backend.
   */
  @Test
  void largeIdleBackendsAreNotPreferred() {
    int toLarge = 0;
    for (int seed = 0; seed < 200; seed++) {
      Harness harness = new Harness(400, Idempotency.IDEMPOTENT, FREE, 0, seed);
      harness.decider.onBackends(
          harness.now,
          true,
          List.of(
              new Backend(1, 0, 0, 0, DiscoveryState.READY, 4, 0),
              new Backend(2, 0, 1, 0, DiscoveryState.READY, 2.5, 0)));
      harness.arrive(1, 5, 1, 2);
      toLarge += harness.sentTo.get(1L) == 1 ? 1 : 0;
    }
    assertTrue(toLarge > 60 && toLarge < 160, "first sends to the larger: " + toLarge + " of 200");
  }

  /** With impatient clients: a response after the client's deadline is of no use to anybody. */
  @Test
  void rejectsAtOnceIfTheDeadlineIsShorterThanTheLatency() {
    Harness harness = new Harness(20, Idempotency.IDEMPOTENT, FREE, 4);
    harness.arrive(1, 5, 1, 2);
    harness.ok(1);
    harness.decider.onRequest(harness.now, new Request(2, 0, 0, 5, 1, 2, 40 * MS));
    assertTrue(harness.rejected(2) && !harness.sent(2));
    harness.decider.onRequest(harness.now, new Request(3, 0, 0, 5, 1, 2, SECOND));
    assertTrue(harness.sent(3));
  }

  /**
   * A ceiling limits what all gateways send together. A customer has at most half as many gateways
   * as its ceiling's burst has requests; if each gateway might send at least one per second, they
   * would send 200 per second here.
   */
  @Test
  void manyGatewaysTogetherEnforceACeiling() {
    int gateways = 200;
    Plan plan =
        new Plan(
            1_000, 9_000, 0, 40, 400, 40, 1, 0,
            1); // 40 per second, a burst of 400, 40 of overdraft
    List<Harness> harnesses = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      harnesses.add(new Harness(gateways, Idempotency.IDEMPOTENT, plan, 3, i));
    }
    int sent = 0;
    long id = 1;
    for (int second = 0; second <= 100; second++) {
      for (Harness harness : harnesses) {
        harness.arrive(id, 5, 1, gateways);
        if (harness.sent(id)) {
          sent++;
          harness.ok(id);
        }
        id++;
        harness.now += SECOND;
      }
      assertTrue(sent <= 440 + 40 * (second + 1), sent + " by second " + second);
    }
    assertTrue(sent > 2_000, "the ceiling's rate is used: " + sent);
  }

  /**
   * An attempt uses units once it has reached a backend whole; a refused connect proves that it has
   * not.
   */
  @Test
  void refundsOnceWhatReachedNoBackend() {
    Plan plan =
        new Plan(
            1, 3, 0, 1, 3, 3, 1, 0,
            1); // a burst of three in both buckets, refilled by one per second
    for (Outcome outcome : Outcome.values()) {
      if (outcome == Outcome.OK) {
        continue;
      }
      Harness harness = new Harness(1, Idempotency.NOT_IDEMPOTENT, plan, 40);
      for (long id = 1; id <= 3; id++) {
        harness.arrive(id, 5, 1, 1);
        assertTrue(harness.sent(id), outcome + " " + id);
        long backend = harness.sentTo.get(id);
        harness.decider.onAttemptEnd(
            harness.now, new AttemptReport(id, 0, backend, outcome, true, MS, -1, 0, null));
      }
      boolean reachedNoBackend = outcome == Outcome.NEVER_SENT || outcome == Outcome.CONNECT_FAILED;
      for (long id = 4; id <= 6; id++) {
        harness.arrive(id, 5, 1, 1);
        assertEquals(reachedNoBackend, harness.sent(id), outcome + " " + id);
      }
      harness.arrive(7, 5, 1, 1);
      assertFalse(harness.sent(7), "refunded once, not twice: " + outcome);
    }
  }

  /**
   * If the caller must decide within a budget, the queued request is given up by then, through a
   * timer of its own.
   */
  @Test
  void givesUpAQueuedRequestAtItsMaxQueueTime() {
    List<Long> wakes = new ArrayList<>();
    Harness harness =
        new Harness(12, Idempotency.NOT_IDEMPOTENT, FREE, 1) {
          @Override
          public void startTimer(int token, long ns) {
            if (token == 1) {
              wakes.add(ns);
            }
          }
        };
    harness.arrive(1, 99, 1, 2);
    harness.arrive(2, 98, 1, 2);
    harness.decider.onRequest(harness.now, new Request(3, 0, 0, 97, 1, 2, 3 * SECOND, 12 * MS));
    assertEquals(List.of(12 * MS), wakes);
    assertFalse(harness.rejected(3) || harness.sent(3));
    harness.now += 12 * MS - 1;
    harness.decider.onTimer(harness.now, 1);
    assertFalse(harness.rejected(3));
    harness.now += 1;
    harness.decider.onTimer(harness.now, 1);
    assertTrue(harness.rejected(3));
    assertFalse(harness.rejected(2), "others stay queued");
    harness.ok(1);
    assertTrue(harness.sent(2));
    assertFalse(harness.sent(3));
  }

  /**
   * A dead process breaks all its connections at once; a single reset now and then is the
   * network's.
   */
  @Test
  void resetsFarApartDoNotEjectABackend() {
    for (long apart : new long[] {MS, 5 * SECOND}) {
      Harness harness = new Harness(1, Idempotency.IDEMPOTENT, FREE, 1);
      for (long id = 1; id <= 3; id++) {
        harness.arrive(id, 5, 1, 1);
        harness.decider.onAttemptEnd(
            harness.now, new AttemptReport(id, 0, 1, Outcome.RESET, true, MS, -1, 0, null));
        harness.pass(apart);
      }
      harness.decider.onBackends(
          harness.now,
          false,
          List.of(backend(2, DiscoveryState.READY, 0), backend(3, DiscoveryState.READY, 0)));
      int there = 0;
      for (long id = 4; id <= 12; id++) {
        harness.arrive(id, 5, 1, 1);
        there += harness.sentTo.get(id) == 1 ? 1 : 0;
      }
      assertEquals(apart > SECOND, there > 0, "resets apart by " + apart + ": " + there + " of 9");
    }
  }

  /**
   * An attempt is compared with the typical latency of its own class, whichever class the settings
   * list first: what is long for the first class is usual for the second, and no sign of a stall
   * there.
   */
  @Test
  void comparesAnAttemptWithTheTypicalLatencyOfItsClass() {
    RequestClass quick =
        new RequestClass(250 * MS, 1, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0);
    RequestClass slow =
        new RequestClass(5 * SECOND, 1, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0);
    List<Long> to = new ArrayList<>();
    Harness actions =
        new Harness(1, Idempotency.IDEMPOTENT, FREE) {
          @Override
          public void send(long requestId, long backendId, long timeoutNanos) {
            to.add(backendId);
          }
        };
    GatewayDecider decider =
        new GatewayDecider(
            new Settings(
                1,
                0,
                7,
                2 * MS,
                4,
                false,
                0.2,
                10 * SECOND,
                2,
                2 * SECOND,
                0,
                SECOND,
                List.of(quick, slow),
                List.of(FREE)),
            0,
            actions);
    decider.onBackends(0, true, List.of(backend(1, DiscoveryState.READY, 0)));
    decider.onRequest(
        0, new Request(1, 1, 0, 1, 1, 1, 9 * SECOND)); // of the slow class, which takes a second
    decider.onBackends(
        0, true, List.of(backend(1, DiscoveryState.READY, 0), backend(2, DiscoveryState.READY, 0)));
    for (long id = 2; id <= 6; id++) {
      decider.onRequest(500 * MS, new Request(id, 0, 0, 1, 1, 1, 9 * SECOND));
    }
    assertEquals(6, to.size());
    assertEquals(3, to.stream().filter(each -> each == 1).count(), "evenly distributed: " + to);
  }
}
