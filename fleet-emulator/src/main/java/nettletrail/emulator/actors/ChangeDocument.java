package nettletrail.emulator.actors;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettletrail.configuration.RoutingTable;
import nettletrail.configuration.Tenant;
import nettletrail.emulator.checker.ChangeRequest;

/**
 * The configuration document of one change. It has a key of its own, which the next document based
 * on it still contains and the one after that does not, and a route whose name contains the id of
 * the change.
 */
public final class ChangeDocument {
  /** The service that every route leads to. */
  public static final String SERVICE = "model";

  /** The tenant whose use is limited. */
  public static final String TENANT = "tenant-a";

  /** The rate limit of the tenant, in tokens per second. */
  public static final long RATE_PER_SECOND = 153_660;

  /** The burst of the tenant, in tokens. */
  public static final long BURST = 153_660;

  private static final String ROUTE_PREFIX = "order-";
  private static final String DOCUMENT =
"""
{"edition":%d,"routes":[{"name":"%s","station":"one.example","lane_prefix":"/","kind":"resendable",\
"timeout_ms":4000,"carrier":"%s","attempts":2}],\
"carriers":[{"name":"%s","protocol":"h1"}],\
"senders":[{"name":"%s","passes":[%s],"unit":"token_count","plain_tokens":200,\
"rate_per_s":%d,"burst":%d}]}\
""";

  private final ChangeRequest change;
  private final ChangeDocument base;

  /**
   * @param base the document that the change is based on; null for the first
   */
  public ChangeDocument(ChangeRequest change, ChangeDocument base) {
    this.change = change;
    this.base = base;
  }

  /** The change that submits this document. */
  public ChangeRequest change() {
    return change;
  }

  /** The key that no earlier document contains. */
  public String ownKey() {
    return "key-" + change.id();
  }

  /** All keys of the document. */
  public List<String> keys() {
    List<String> keys = new ArrayList<>();
    keys.add(ownKey());
    if (base != null) {
      keys.add(base.ownKey());
    }
    return keys;
  }

  /** The keys that earlier documents contain and this one does not. */
  public Set<String> revokedKeys() {
    Set<String> revoked = new HashSet<>();
    for (ChangeDocument ancestor = base; ancestor != null; ancestor = ancestor.base) {
      revoked.add(ancestor.ownKey());
    }
    keys().forEach(revoked::remove);
    return revoked;
  }

  /** The document in the form that operators submit. */
  public String json() {
    String keys = String.join(",", keys().stream().map(key -> '"' + key + '"').toList());
    return String.format(
        DOCUMENT,
        change.edition(),
        ROUTE_PREFIX + change.id(),
        SERVICE,
        SERVICE,
        TENANT,
        keys,
        RATE_PER_SECOND,
        BURST);
  }

  /** The id of the change, from the text of its document. */
  public static int changeIdOf(String json) {
    int start = json.indexOf('"' + ROUTE_PREFIX) + 1 + ROUTE_PREFIX.length();
    return Integer.parseInt(json.substring(start, json.indexOf('"', start)));
  }

  /** The id of the change, from its compiled document. */
  public static int changeIdOf(RoutingTable table) {
    String route = table.routes().iterator().next().name();
    return Integer.parseInt(route.substring(ROUTE_PREFIX.length()));
  }

  /** All keys of a compiled document. */
  public static Set<String> keysOf(RoutingTable table) {
    Set<String> keys = new HashSet<>();
    for (Tenant tenant : table.tenants()) {
      keys.addAll(tenant.keys());
    }
    return keys;
  }
}
