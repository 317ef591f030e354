package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import nettletrail.control.ShardMap;
import nettletrail.control.grant.QuotaLimit;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.GrantRequest;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.TenantGrant;
import org.junit.jupiter.api.Test;

/** When a door requests tokens, and which ones it may use. */
class GrantClientTest {
  private static final long MILLIS = 1_000_000L;
  private static final String TENANT = "acme";
  private static final int SHARD = ShardMap.shardOf(TENANT);
  private static final Map<String, QuotaLimit> LIMITED = Map.of(TENANT, new QuotaLimit(100, 100));
  private static final Map<String, QuotaLimit> NO_TENANT = Map.of();

  private final GrantClient.OwnerLookup owners =
      new GrantClient.OwnerLookup() {
        @Override
        public Optional<String> owner(int shard, long now) {
          return Optional.of("core");
        }

        @Override
        public void denied(int shard, String address, long now) {
          denials++;
        }
      };
  private GrantClient client = new GrantClient("door", 1, owners);
  private int denials;
  private long now = 5_000 * MILLIS;

  GrantClientTest() {
    client.limitsChanged(Map.of(TENANT, new QuotaLimit(100, 100)));
  }

  @Test
  void ownerIsAskedAtOnceForAWholeRequestWhenTokensAreMissing() {
    assertFalse(client.tryAcquire(TENANT, 90_000, now));
    GrantRequest request = poll();
    assertEquals(90_000, request.getTenants().get(0).getWantedTokens());
    assertEquals(90_000, request.getTenants().get(0).getMinTokens());
    reply(request, 1, 90_000);
    assertEquals(List.of(TENANT), client.drainReplenishedTenants());
    assertTrue(client.tryAcquire(TENANT, 90_000, now));
    assertFalse(client.tryAcquire(TENANT, 1, now));
  }

  @Test
  void grantExpiresCountedFromBeforeItsRequest() {
    GrantRequest request = requestFor(100);
    advance(290);
    reply(request, 1, 100);
    advance(700);
    assertEquals(100, client.usableTokens(TENANT, now));
    advance(10);
    assertEquals(0, client.usableTokens(TENANT, now));
  }

  @Test
  void replyToATimedOutRequestIsDropped() {
    GrantRequest request = requestFor(100);
    advance(350);
    GrantRequest second = poll();
    reply(request, 1, 100);
    assertEquals(0, client.usableTokens(TENANT, now));
    reply(second, 1, 100);
    assertEquals(100, client.usableTokens(TENANT, now));
  }

  @Test
  void useDuringARequestIsDeductedFromItsGrant() {
    reply(requestFor(100), 1, 100);
    GrantRequest renewal = requestFor(1_000);
    assertTrue(client.tryAcquire(TENANT, 40, now));
    reply(renewal, 1, 100);
    assertEquals(60, client.usableTokens(TENANT, now));
  }

  @Test
  void replyWithAnOlderFencingTokenIsDropped() {
    reply(requestFor(100), 7, 50);
    reply(requestFor(1_000), 6, 1_000);
    assertEquals(50, client.usableTokens(TENANT, now));
    assertEquals(1, denials);
  }

  @Test
  void formerOwnersTokensLastUntilTheyExpire() {
    reply(requestFor(100), 1, 80);
    advance(500);
    reply(requestFor(1_000), 2, 10);
    assertEquals(80, client.usableTokens(TENANT, now));
    assertTrue(client.tryAcquire(TENANT, 75, now));
    assertEquals(5, client.usableTokens(TENANT, now));
    advance(501);
    assertEquals(0, client.usableTokens(TENANT, now));
  }

  @Test
  void refundedTokensAreUsableUnlessReportedAsUsed() {
    reply(requestFor(100), 1, 100);
    assertTrue(client.tryAcquire(TENANT, 100, now));
    client.refund(TENANT, 100);
    assertTrue(client.tryAcquire(TENANT, 100, now));
    GrantRequest renewal = requestFor(50);
    client.refund(TENANT, 100);
    assertEquals(0, client.usableTokens(TENANT, now), "they were reported to the owner as used");
    reply(renewal, 1, 0);
    assertEquals(0, client.usableTokens(TENANT, now));
  }

  @Test
  void refundedTokensOfAFormerOwnerDoNotOutlastTheirGrant() {
    reply(requestFor(100), 1, 100);
    advance(350);
    GrantRequest request = requestFor(100);
    assertTrue(client.tryAcquire(TENANT, 40, now));
    reply(request, 2, 10);
    client.refund(TENANT, 40);
    assertEquals(60, client.usableTokens(TENANT, now));
    advance(401);
    assertEquals(10, client.usableTokens(TENANT, now));
  }

  @Test
  void replyToAFormerIncarnationIsDropped() {
    client = new GrantClient("door", 1_000_000, owners);
    client.limitsChanged(Map.of(TENANT, new QuotaLimit(100, 100)));
    GrantRequest formerRequest = requestFor(100);
    client = new GrantClient("door", 2_000_000, owners);
    client.limitsChanged(Map.of(TENANT, new QuotaLimit(100, 100)));
    GrantRequest request = requestFor(50);
    reply(formerRequest, 1, 100);
    assertEquals(0, client.usableTokens(TENANT, now));
    reply(request, 1, 50);
    assertEquals(50, client.usableTokens(TENANT, now));
  }

  @Test
  void tokensAreRequestedAheadOfSteadyDemand() {
    reply(requestFor(10_000), 1, 10_000);
    client.queuedTokensChanged(TENANT, 0, now);
    for (int step = 0; step < 20; step++) {
      assertTrue(client.tryAcquire(TENANT, 100, now));
      advance(50);
    }
    GrantRequest request = nextRequest();
    long wanted = request.getTenants().get(0).getWantedTokens();
    assertTrue(wanted > 480 && wanted < 560, "wanted " + wanted);
  }

  @Test
  void unknownAndUnlimitedTenantsAlwaysGetTokens() {
    client.limitsChanged(Map.of(TENANT, QuotaLimit.NONE));
    assertTrue(client.tryAcquire(TENANT, Long.MAX_VALUE / 8, now));
    assertTrue(client.tryAcquire("other", 5, now));
    assertTrue(client.poll(now).isEmpty());
  }

  // Guards against: use of before a lifted limit is never reported, so that it is granted again.
  @Test
  void useIsCountedOnWhenALimitIsBack() {
    reply(requestFor(100), 1, 100);
    assertTrue(client.tryAcquire(TENANT, 40, now));
    for (Map<String, QuotaLimit> between : List.of(Map.of(TENANT, QuotaLimit.NONE), NO_TENANT)) {
      client.limitsChanged(between);
      advance(3_000);
      assertTrue(client.poll(now).isEmpty());
      client.limitsChanged(LIMITED);
      GrantRequest request = requestFor(50);
      assertEquals(40, request.getTenants().get(0).getUsedTotal());
      assertEquals(0, request.getTenants().get(0).getUnusedTokens());
      reply(request, 1, 0);
    }
  }

  // Guards against: a grant for a report of before the change is taken without what was used since.
  @Test
  void useDuringARequestIsDeductedFromItsGrantThoughTheLimitWasAwayMeanwhile() {
    reply(requestFor(100), 1, 100);
    GrantRequest renewal = requestFor(1_000);
    assertTrue(client.tryAcquire(TENANT, 40, now));
    client.limitsChanged(NO_TENANT);
    client.limitsChanged(LIMITED);
    reply(renewal, 1, 100);
    assertEquals(60, client.usableTokens(TENANT, now));
  }

  // Guards against: a refund for a request of before the change hides what was used after it.
  @Test
  void refundOfReportedUseStaysWithoutEffectAfterTheLimitWasAway() {
    reply(requestFor(100), 1, 100);
    assertTrue(client.tryAcquire(TENANT, 40, now));
    reply(requestFor(100), 1, 60);
    client.limitsChanged(NO_TENANT);
    client.limitsChanged(LIMITED);
    client.refund(TENANT, 40);
    assertEquals(60, client.usableTokens(TENANT, now));
  }

  // Guards against: a door keeps the counts of all tenants that it ever knew.
  @Test
  void countOfARemovedTenantIsForgottenOnceNoOwnerHasItsAccount() {
    reply(requestFor(100), 1, 100);
    assertTrue(client.tryAcquire(TENANT, 40, now));
    client.limitsChanged(NO_TENANT);
    advance(60_001);
    assertTrue(client.poll(now).isEmpty());
    client.limitsChanged(LIMITED);
    assertEquals(0, requestFor(50).getTenants().get(0).getUsedTotal());
  }

  private GrantRequest requestFor(long tokens) {
    client.queuedTokensChanged(TENANT, tokens, now);
    return nextRequest();
  }

  private GrantRequest nextRequest() {
    advance(250);
    return poll();
  }

  private GrantRequest poll() {
    List<DoorAction> actions = client.poll(now);
    assertEquals(1, actions.size());
    DoorAction.SendToCore send = (DoorAction.SendToCore) actions.get(0);
    GrantRequest request = (GrantRequest) send.message();
    assertEquals(SHARD, request.getShard());
    return request;
  }

  private void reply(GrantRequest request, long term, long tokens) {
    TenantGrant grant = new TenantGrant(TENANT, tokens, 10.0, 2, true);
    ProposalNumber token = new ProposalNumber(term, "core");
    long number = request.getRequest();
    client.received(
        new GrantReply("core", number, SHARD, true, token, 1_000L, List.of(grant)), now);
  }

  private void advance(long millis) {
    now += millis * MILLIS;
  }
}
