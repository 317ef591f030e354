package nettletrail.emulator.capacity;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;

/**
 * The operator's configuration at a size: {@link #SERVICES} services, a few routes for each, and a
 * tenant with two keys for each of the plan's.
 */
public final class SampleDocument {
  /** An estimate, so that the text need not be copied as it grows. */
  private static final int CHARACTERS_PER_TENANT = 256;

  /** Successive editions differ in the time-outs of their routes. */
  private static final long MIN_TIMEOUT_MS = 8_000;

  private static final long TIMEOUTS = 1_000;

  /** One for each model in steady use. */
  public static final int SERVICES = 4;

  private static final int ROUTES_PER_SERVICE = 3;
  private static final int KEYS_PER_TENANT = 2;
  private static final int KEY_CHARACTERS = 20;
  private static final String ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789";
  private static final double USUAL_TOKENS_PER_S = 150_000;

  private SampleDocument() {}

  /** The complete document of an edition, as the operator sends it; all tenants have one limit. */
  public static byte[] complete(long edition, int tenants) {
    return complete(edition, tenants, tenant -> USUAL_TOKENS_PER_S);
  }

  /** The same with a limit for each tenant, in tokens a second; a second of it is the burst. */
  public static byte[] complete(long edition, int tenants, IntToDoubleFunction limits) {
    StringBuilder json = new StringBuilder(CHARACTERS_PER_TENANT * tenants);
    json.append("{\"edition\":").append(edition).append(",\"routes\":[");
    for (int i = 0; i < SERVICES * ROUTES_PER_SERVICE; i++) {
      json.append(i == 0 ? "" : ",").append(route(i, edition));
    }
    json.append("],\"carriers\":[");
    for (int i = 0; i < SERVICES; i++) {
      json.append(i == 0 ? "" : ",").append(service(i));
    }
    json.append(
        "],\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
            + "\"header_ms\":3000,\"idle_ms\":15000}");
    json.append(",\"senders\":[");
    for (int i = 0; i < tenants; i++) {
      json.append(i == 0 ? "" : ",").append(tenant(i, limits.applyAsDouble(i)));
    }
    return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
  }

  /** A change of one tenant, as the operator sends it. */
  public static byte[] change(long edition, int tenant) {
    String item = tenant(tenant, USUAL_TOKENS_PER_S);
    String json = "{\"edition\":" + edition + ",\"deliver\":{\"senders\":[" + item + "]}}";
    return json.getBytes(StandardCharsets.UTF_8);
  }

  private static String route(int number, long edition) {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"route-%d\",\"station\":\"models.example\",\"lane_prefix\":\"/m%d/\",\"kind\":\"serial\","
            + "\"timeout_ms\":%d,\"target_ms\":1700,\"priority\":%d,\"carrier\":\"%s\",\"attempts\":2,"
            + "\"unstamped\":false,\"sticky\":true,\"resume\":true,\"gap_aim_ms\":300}",
        number,
        number,
        MIN_TIMEOUT_MS + edition % TIMEOUTS,
        number % ROUTES_PER_SERVICE,
        FleetNames.service(number % SERVICES));
  }

  private static String service(int number) {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"%s\",\"health_path\":\"/health\",\"conn_cap\":620,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"berths\":128,\"kv_token_room\":658776,\"kv_token_bytes\":18432,"
            + "\"link_mbps\":180000.0,\"stride\":5,\"models\":[{\"name\":\"m%d\"}]}}",
        FleetNames.service(number),
        number);
  }

  private static String tenant(int number, double tokensPerSecond) {
    SplittableRandom random = new SplittableRandom(number);
    StringBuilder keys = new StringBuilder();
    for (int i = 0; i < KEYS_PER_TENANT; i++) {
      keys.append(i == 0 ? "\"" : ",\"").append(key(random)).append('"');
    }
    return String.format(
        Locale.ROOT,
        "{\"name\":\"%s\",\"passes\":[%s],\"priority\":%d,\"unit\":\"token_count\",\"plain_tokens\":200,"
            + "\"rate_per_s\":%.0f,\"burst\":%.0f}",
        FleetNames.tenant(number),
        keys,
        number % ROUTES_PER_SERVICE,
        tokensPerSecond,
        tokensPerSecond);
  }

  private static String key(SplittableRandom random) {
    StringBuilder key = new StringBuilder(KEY_CHARACTERS);
    for (int i = 0; i < KEY_CHARACTERS; i++) {
      key.append(ALPHABET.charAt(random.nextInt(ALPHABET.length())));
    }
    return key.toString();
  }
}
