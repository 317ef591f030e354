package nettletrail.extproc;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import nettletrail.core.Endpoint;
import nettletrail.core.SettingsSection;
import nettletrail.decision.Gateway;

/**
 * The external processor's settings: section {@code [ext_proc]} of the operator file.
 *
 * @param listen address of the gRPC listener, or null for none
 * @param httpListen address of the HTTP listener, or null for none
 * @param budgetNanos time in which each decision request is answered, in ns
 * @param reserveNanos part of the budget kept for network time and delays, in ns; the decision
 *     module may hold a request for the rest
 * @param orphanTimeoutNanos time after which a request whose stream ended without an outcome frees
 *     its slot, in ns
 * @param idRetentionNanos how long ids of unsafe requests are retained, in ns
 * @param destinationHeader request header that names the endpoint; "" for none
 * @param originalDstHeader request header for Envoy's original-destination clusters; "" for none
 * @param metadataNamespace namespace of the dynamic metadata that names the endpoint; "" for none
 * @param suppressRetries whether proxies are instructed not to retry an unsafe request by
 *     themselves
 * @param maxConnections maximum number of connections, for gRPC and for HTTP each
 * @param maxStreamsPerConnection maximum number of open calls on one connection
 * @param maxOpen maximum number of requests that await a decision or an outcome, over all
 *     connections
 * @param maxIds maximum number of retained request ids
 * @param maxMessageBytes maximum size of one message, in bytes
 */
public record ExtProcSettings(
    InetSocketAddress listen,
    InetSocketAddress httpListen,
    long budgetNanos,
    long reserveNanos,
    long orphanTimeoutNanos,
    long idRetentionNanos,
    String destinationHeader,
    String originalDstHeader,
    String metadataNamespace,
    boolean suppressRetries,
    int maxConnections,
    int maxStreamsPerConnection,
    int maxOpen,
    int maxIds,
    int maxMessageBytes) {
  private static final long NANOS_PER_MS = 1_000_000L;

  public ExtProcSettings {
    Gateway.requireInRange(listen != null || httpListen != null, "ExtProcSettings.listen");
    Gateway.requireInRange(
        reserveNanos > 0 && reserveNanos < budgetNanos, "ExtProcSettings.reserveNanos");
    Gateway.requireInRange(maxOpen <= maxIds, "ExtProcSettings.maxOpen");
  }

  /** Returns the section with its keys, ranges, defaults and help texts. */
  public static SettingsSection section() {
    return new SettingsSection(
            "ext_proc",
            "External processor: other proxies request a decision for each of their requests.")
        .flag("enabled", false, "whether the external processor is on")
        .address(
            "listen",
            "127.0.0.1:9002",
            "listen address for decision requests over gRPC (envoy.service.ext_proc.v3)")
        .address(
            "http_listen",
            "",
            "listen address for decision requests over HTTP (forward-auth, auth_request)")
        .integer("budget_ms", 5, 1_000, 20, "time limit for answering a decision request, in ms")
        .integer(
            "reserve_ms",
            1,
            500,
            10,
            "part of budget_ms reserved for network time and delays, in ms")
        .integer(
            "orphan_ms",
            0,
            60_000,
            500,
            "delay before a request whose stream ended without an outcome releases its slot, in ms")
        .integer(
            "id_memory_s",
            5,
            3_600,
            60,
            "how long ids of requests that must not run twice are retained, in s")
        .text(
            "destination_header",
            0,
            128,
            "x-gateway-destination-endpoint",
            "request header that names the endpoint; \"\" for none")
        .text(
            "original_dst_header",
            0,
            128,
            "x-envoy-original-dst-host",
            "request header for original-destination clusters; \"\" for none")
        .text(
            "metadata_namespace",
            0,
            128,
            "envoy.lb",
            "namespace of the dynamic metadata that names the endpoint; \"\" for none")
        .flag(
            "stop_retries", true, "instruct proxies not to retry requests that must not run twice")
        .integer(
            "most_callers",
            1,
            4_096,
            64,
            "maximum number of proxy connections, for gRPC and for HTTP each")
        .integer(
            "most_streams_per_caller",
            1,
            65_536,
            4_096,
            "maximum number of open calls on one connection")
        .integer(
            "most_open",
            1,
            1_000_000,
            16_384,
            "maximum number of requests that await a decision or an outcome")
        .integer(
            "most_ids",
            1,
            10_000_000,
            262_144,
            "maximum number of retained request ids; decision requests beyond it are rejected")
        .integer(
            "most_message_kb", 4, 16_384, 256, "maximum size of one message from a proxy, in KiB");
  }

  /**
   * Checks the rules that involve several keys.
   *
   * @param values the section's values, each already in its own range
   * @param faults receives each violated rule
   */
  public static void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults) {
    if (values.integer("reserve_ms") >= values.integer("budget_ms")) {
      faults.accept(
          new SettingsSection.Fault(
              "reserve_ms",
              "must be under budget_ms ("
                  + values.integer("budget_ms")
                  + "): the decision module decides in the rest of it"));
    }
    if (values.integer("most_open") > values.integer("most_ids")) {
      faults.accept(
          new SettingsSection.Fault(
              "most_open",
              "must not be over most_ids ("
                  + values.integer("most_ids")
                  + "): the ids of open requests are among those retained"));
    }
    if (values.flag("enabled")
        && values.text("listen").isEmpty()
        && values.text("http_listen").isEmpty()) {
      faults.accept(
          new SettingsSection.Fault(
              "listen", "and http_listen are both empty: no proxy could connect; set one"));
    }
    if (!values.text("listen").isEmpty()
        && values.text("listen").equals(values.text("http_listen"))
        && !values.text("listen").endsWith(":0")) {
      faults.accept(
          new SettingsSection.Fault(
              "http_listen", "must not be the address of listen; use another port"));
    }
    if (values.text("destination_header").isEmpty()
        && values.text("original_dst_header").isEmpty()
        && values.text("metadata_namespace").isEmpty()) {
      faults.accept(
          new SettingsSection.Fault(
              "destination_header",
              "and original_dst_header and metadata_namespace are "
                  + "all empty: no proxy could learn the endpoint; set one"));
    }
  }

  /**
   * Returns the settings that checked values stand for, with times in ns, sizes in bytes and header
   * names in lower case.
   */
  public static ExtProcSettings of(SettingsSection.Values values) {
    return new ExtProcSettings(
        address(values.text("listen")),
        address(values.text("http_listen")),
        values.integer("budget_ms") * NANOS_PER_MS,
        values.integer("reserve_ms") * NANOS_PER_MS,
        values.integer("orphan_ms") * NANOS_PER_MS,
        values.integer("id_memory_s") * 1_000 * NANOS_PER_MS,
        values.text("destination_header").toLowerCase(java.util.Locale.ROOT),
        values.text("original_dst_header").toLowerCase(java.util.Locale.ROOT),
        values.text("metadata_namespace"),
        values.flag("stop_retries"),
        (int) values.integer("most_callers"),
        (int) values.integer("most_streams_per_caller"),
        (int) values.integer("most_open"),
        (int) values.integer("most_ids"),
        (int) values.integer("most_message_kb") << 10);
  }

  private static InetSocketAddress address(String text) {
    return text.isEmpty() ? null : Endpoint.parseAddress(text);
  }
}
