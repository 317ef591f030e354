package nettletrail.fleet.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import nettletrail.fleet.ApprovedForm;
import org.junit.jupiter.api.Test;

/**
 * The keys of the settings file: what each means when it is absent, and what each makes of values
 * inside and outside its range.
 */
class SettingsFormTest {
  private static final String REQUIRED =
      """
      node=counter-a-1
      ip=10.1.0.14
      zone=a
      spare_ports=7680,7695
      seed_nodes=
      """;
  private static final List<String> PROBES =
      List.of(
          "",
          "true",
          "false",
          "yes",
          "text",
          "a,b",
          "10.1.0.9",
          "10.1.0.9:0",
          "10.1.0.9:65535",
          "10.1.0.9:65536",
          "10.1.0.9:1,10.1.0.8:2",
          "host:1",
          "7,7",
          "7,9",
          "9,7",
          "0,9",
          "7,65536",
          "-1",
          "0",
          "0.5",
          "1",
          "2.75",
          "2147483647",
          "2147483648",
          "9223372036",
          "9223372037",
          "4503599627370496",
          "4503599627370497");

  private static Map<String, Function<FleetSettings, Object>> keys() {
    Map<String, Function<FleetSettings, Object>> keys = new LinkedHashMap<>();
    addIdentity(keys);
    addNetwork(keys);
    addMachine(keys);
    addTimeBounds(keys);
    addCountBounds(keys);
    return keys;
  }

  private static void addIdentity(Map<String, Function<FleetSettings, Object>> keys) {
    keys.put("node", FleetSettings::node);
    keys.put("role", FleetSettings::role);
    keys.put("machine_class", FleetSettings::machineClass);
    keys.put("serves", settings -> new TreeSet<>(settings.serves()));
    keys.put("ip", FleetSettings::ip);
    keys.put("zone", FleetSettings::zone);
    keys.put("region", FleetSettings::region);
    keys.put("zones.b", FleetSettings::zones);
  }

  private static void addNetwork(Map<String, Function<FleetSettings, Object>> keys) {
    keys.put("ports.public_gate", settings -> textOf(settings.publicGate()));
    keys.put("ports.ready_gate", settings -> textOf(settings.readyGate()));
    keys.put("ports.control_gate", settings -> textOf(settings.controlGate()));
    keys.put(
        "spare_ports",
        settings -> settings.sparePorts().first() + " to " + settings.sparePorts().last());
    keys.put("seed_nodes", FleetSettings::seeds);
  }

  private static void addMachine(Map<String, Function<FleetSettings, Object>> keys) {
    keys.put("first_run", FleetSettings::firstRun);
    keys.put("counts_for_quorum", FleetSettings::countsForQuorum);
    keys.put("limits.cpu_share", settings -> settings.limits().cpuShare());
    keys.put("limits.core_count", settings -> settings.limits().coreCount());
    keys.put("limits.memory_mb", settings -> settings.limits().memoryMegabytes());
    keys.put("limits.file_limit", settings -> settings.limits().fileLimit());
    keys.put("limits.link_mbps", settings -> settings.limits().linkMegabitsPerSecond());
    keys.put("limits.disk_mb", settings -> settings.limits().diskMegabytes());
    keys.put("data_dir", settings -> textOf(settings.dataDirectory()));
    keys.put("beat_ms", FleetSettings::heartbeatInterval);
    keys.put("clauses", settings -> new TreeSet<>(settings.clauses()));
    keys.put("withstand.machines", settings -> settings.toleratedLosses().machines());
    keys.put("withstand.zones", settings -> settings.toleratedLosses().zones());
    keys.put("withstand.regions", settings -> settings.toleratedLosses().regions());
  }

  private static void addTimeBounds(Map<String, Function<FleetSettings, Object>> keys) {
    keys.put("bounds.roster_lag_s", settings -> settings.bounds().membershipLag());
    keys.put("bounds.reuse_after_s", settings -> settings.bounds().addressReuseDelay());
    keys.put("bounds.contact_ms", settings -> settings.bounds().readBackTimeout());
    keys.put("bounds.receipt_ms", settings -> settings.bounds().acknowledgementTimeout());
    keys.put("bounds.catch_up_s", settings -> settings.bounds().catchUpTime());
    keys.put("bounds.drain_ms", settings -> settings.bounds().drain());
    keys.put("bounds.grace_s", settings -> settings.bounds().shutdownGracePeriod());
    keys.put("bounds.loss_slack_ms", settings -> settings.bounds().lossTolerance());
    keys.put("bounds.in_force_ms", settings -> settings.bounds().activationTime());
    keys.put("bounds.return_slack_ms", settings -> settings.bounds().deadlineTolerance());
    keys.put("bounds.stretch_ms", settings -> settings.bounds().streamGapTolerance());
    keys.put("bounds.revoke_ms", settings -> settings.bounds().keyRevocationTime());
    keys.put("bounds.retry_window_s", settings -> settings.bounds().retryWindow());
    keys.put("bounds.quota_window_s", settings -> settings.bounds().quotaWindow());
    keys.put("bounds.recover_s", settings -> settings.bounds().recoveryTime());
    keys.put("bounds.pass_ms", settings -> settings.bounds().processingTime());
    keys.put("bounds.again_s", settings -> settings.bounds().faultRecurrence());
  }

  private static void addCountBounds(Map<String, Function<FleetSettings, Object>> keys) {
    keys.put("bounds.revoked_closed", settings -> settings.bounds().revokedClosed());
    keys.put("bounds.retry_ratio", settings -> settings.bounds().retryRatio());
    keys.put("bounds.retry_slack", settings -> settings.bounds().retrySlack());
    keys.put("bounds.quota_over", settings -> settings.bounds().quotaTolerance());
    keys.put("bounds.quota_slack", settings -> settings.bounds().quotaSlack());
  }

  private static String textOf(Optional<?> value) {
    return value.map(Object::toString).orElse("none");
  }

  private static FleetSettings parse(String text) throws SettingsException {
    return SettingsReader.parse(text, "FILE");
  }

  @Test
  void keysThatAreAbsentHaveTheirDefaults() throws Exception {
    FleetSettings settings = parse(REQUIRED);
    List<String> lines = new ArrayList<>();
    keys().forEach((key, value) -> lines.add(key + " = " + value.apply(settings)));
    ApprovedForm.verify("settings-defaults.txt", lines);
  }

  @Test
  void keysTakeValuesOfTheirTypeAndRange() throws Exception {
    List<String> lines = new ArrayList<>();
    keys()
        .forEach(
            (key, value) -> {
              lines.add(key);
              PROBES.forEach(probe -> lines.add("  '" + probe + "': " + answer(key, probe, value)));
            });
    ApprovedForm.verify("settings-ranges.txt", lines);
  }

  /** What is read from a line, or why it is refused; a later line of a key replaces the earlier. */
  private static String answer(String key, String probe, Function<FleetSettings, Object> value) {
    try {
      return String.valueOf(value.apply(parse(REQUIRED + key + "=" + probe + "\n")));
    } catch (SettingsException refused) {
      return "REFUSED " + refused.getMessage();
    }
  }

  @Test
  void emptyFileReportsTheRequiredKeys() throws Exception {
    List<String> lines = new ArrayList<>();
    for (String serves : List.of("", "counter", "dispatch_office", "counter,dispatch_office")) {
      try {
        parse("serves=" + serves);
        lines.add("serves=" + serves + " is accepted");
      } catch (SettingsException refused) {
        lines.add("serves=" + serves);
        refused.faults().forEach(fault -> lines.add("  " + fault));
      }
    }
    ApprovedForm.verify("settings-required.txt", lines);
  }

  @Test
  void unknownKeyIsIgnored() throws SettingsException {
    FleetSettings expected = parse(REQUIRED);
    assertEquals(expected, parse(REQUIRED + "some.new_key=1\nbounds.new_key=x\nnew_key=\n"));
  }
}
