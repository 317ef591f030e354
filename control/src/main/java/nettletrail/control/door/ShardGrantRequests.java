package nettletrail.control.door;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import nettletrail.control.grant.GrantTerms;
import nettletrail.control.shard.ProposalNumbers;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.TenantUse;

/**
 * The requests to the owner of one shard: at most one is in flight, and once it timed out its reply
 * is dropped, which the owner relies on. Instants are nanoseconds of the steady clock.
 */
final class ShardGrantRequests {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Grants are renewed this often before they expire. */
  private static final int REQUESTS_PER_VALIDITY = 3;

  private static final long NONE = 0;

  private ProposalNumber fencingToken;
  private boolean everSent;
  private long sentAt;
  private long inFlight = NONE;
  private String recipient = "";
  private long validMs = GrantTerms.USUAL_VALID_MS;
  private final Set<String> reportedTenants = new HashSet<>();

  /** Whether the next request is due; {@code interval}: at most this long after the last one. */
  boolean isDue(long interval, long now) {
    if (!everSent) {
      return true;
    }
    long sinceSent = now - sentAt;
    if (inFlight != NONE) {
      return sinceSent >= TIMEOUT_NANOS;
    }
    return sinceSent >= Math.min(interval, validMs * NANOS_PER_MILLI / REQUESTS_PER_VALIDITY);
  }

  /** A request is sent now; it replaces one in flight. */
  void sent(long number, String owner, List<TenantUse> reports, long now) {
    inFlight = number;
    recipient = owner;
    reportedTenants.clear();
    reports.forEach(report -> reportedTenants.add(report.getTenant()));
    sentAt = now;
    everSent = true;
  }

  /** Ends the request in flight if this is its reply; returns false for any other reply. */
  boolean complete(GrantReply reply) {
    if (inFlight != reply.getRequest()) {
      return false;
    }
    inFlight = NONE;
    return true;
  }

  /** The address to which the last request went, empty before the first. */
  String recipient() {
    return recipient;
  }

  /** Whether the last request reported on this tenant. */
  boolean reportedOn(String tenant) {
    return reportedTenants.contains(tenant);
  }

  /** Whether a newer owner than the sender of this reply has answered before. */
  boolean isFromFormerOwner(GrantReply reply) {
    return fencingToken != null && ProposalNumbers.compare(reply.getToken(), fencingToken) < 0;
  }

  /** Whether the sender of this reply is newer than all owners that have answered before. */
  boolean isFromNewOwner(GrantReply reply) {
    return fencingToken == null || ProposalNumbers.compare(reply.getToken(), fencingToken) > 0;
  }

  /** Takes in a reply's fencing token and validity. */
  void accept(GrantReply reply) {
    fencingToken = reply.getToken();
    validMs = reply.getValidMs();
  }

  /** When the grants of the last accepted reply expire, counted from before the request. */
  long grantsExpireAt() {
    return sentAt + validMs * NANOS_PER_MILLI;
  }
}
