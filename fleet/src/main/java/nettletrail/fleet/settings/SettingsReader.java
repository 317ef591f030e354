package nettletrail.fleet.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads settings files and checks them whole: an error names every fault, not only the first. */
public final class SettingsReader {
  private static final String PUBLIC_GATE = "ports.public_gate";
  private static final String READY_GATE = "ports.ready_gate";
  private static final String CONTROL_GATE = "ports.control_gate";

  private final SettingsValues values;

  private SettingsReader(SettingsValues values) {
    this.values = values;
  }

  /**
   * The path that the environment names.
   *
   * @throws SettingsException if the variable is not set or no path
   */
  public static Path pathFrom(Map<String, String> environment) throws SettingsException {
    String path = environment.getOrDefault(FleetSettings.PATH_VARIABLE, "");
    try {
      if (!path.isEmpty()) {
        return Path.of(path);
      }
    } catch (InvalidPathException failure) {
      // Named below, as a variable that is not set.
    }
    String remedy = "set it to the path of the settings file";
    SettingsFault fault = new SettingsFault(FleetSettings.PATH_VARIABLE, path, remedy);
    throw new SettingsException("the environment", List.of(fault));
  }

  /**
   * Reads a file.
   *
   * @throws SettingsException if the file can't be read or has faults
   */
  public static FleetSettings read(Path file) throws SettingsException {
    try {
      return parse(Files.readString(file), file.toString());
    } catch (IOException failure) {
      SettingsFault fault =
          new SettingsFault("the file", file.toString(), "make it readable (" + failure + ")");
      throw new SettingsException(file.toString(), List.of(fault));
    }
  }

  /** Reads the bytes of a file; see {@link #parse(String, String)}. */
  static FleetSettings parse(byte[] content, String source) throws SettingsException {
    return parse(new String(content, StandardCharsets.UTF_8), source);
  }

  /**
   * Reads the text of a file. Keys that are not known are left alone.
   *
   * @param source where the text is from, named in the error
   * @throws SettingsException with all faults
   */
  public static FleetSettings parse(String text, String source) throws SettingsException {
    SettingsValues values = new SettingsValues(text);
    FleetSettings settings = new SettingsReader(values).settings();
    if (!values.faults().isEmpty()) {
      throw new SettingsException(source, values.faults());
    }
    return settings;
  }

  private FleetSettings settings() {
    Set<String> serves = Set.copyOf(values.list("serves"));
    requireGates(serves);
    return new FleetSettings(
        values.requiredText("node", "name the machine"),
        values.text("role", ""),
        values.text("machine_class", ""),
        serves,
        ip(),
        values.requiredText("zone", "name the machine's zone"),
        values.text("region", ""),
        Map.copyOf(values.withPrefix("zones.")),
        values.address(PUBLIC_GATE),
        values.address(READY_GATE),
        values.address(CONTROL_GATE),
        values.portRange("spare_ports"),
        seeds(),
        values.flag("first_run", false),
        values.flag("counts_for_quorum", false),
        limits(),
        dataDirectory(),
        heartbeatInterval(),
        Set.copyOf(values.list("clauses")),
        toleratedLosses(),
        bounds());
  }

  private void requireGates(Set<String> serves) {
    if (serves.contains(FleetSettings.SERVES_CLIENTS)) {
      requireGate(PUBLIC_GATE);
      requireGate(READY_GATE);
    }
    if (serves.contains(FleetSettings.SERVES_CONTROL)) {
      requireGate(CONTROL_GATE);
    }
  }

  private void requireGate(String key) {
    if (!values.isPresent(key)) {
      values.fault(key, "write ip:port, since serves asks for it");
    }
  }

  private String ip() {
    String ip = values.requiredText("ip", "write the machine's IPv4 number");
    if (!ip.isEmpty() && !SettingsValues.isIp(ip)) {
      values.fault("ip", "write an IPv4 number");
    }
    return ip;
  }

  private List<String> seeds() {
    if (!values.isNamed("seed_nodes")) {
      values.fault("seed_nodes", "write the seeds as ip:port, joined by commas; it may be empty");
    }
    return values.addresses("seed_nodes");
  }

  private Limits limits() {
    return new Limits(
        values.fraction("limits.cpu_share", 1),
        values.fraction("limits.core_count", 1),
        values.smallNumber("limits.memory_mb", SettingsDefaults.MEMORY_MB),
        values.smallNumber("limits.file_limit", SettingsDefaults.FILE_LIMIT),
        values.fraction("limits.link_mbps", SettingsDefaults.LINK_MBPS),
        values.smallNumber("limits.disk_mb", 0));
  }

  private Optional<Path> dataDirectory() {
    if (!values.isPresent("data_dir")) {
      return Optional.empty();
    }
    try {
      return Optional.of(Path.of(values.text("data_dir", "")));
    } catch (InvalidPathException failure) {
      values.fault("data_dir", "write the path of a folder");
      return Optional.empty();
    }
  }

  private Duration heartbeatInterval() {
    Duration interval = values.millis("beat_ms", SettingsDefaults.HEARTBEAT_MS);
    if (interval.isZero()) {
      values.fault("beat_ms", "write a time above 0 in milliseconds");
    }
    return interval;
  }

  private ToleratedLosses toleratedLosses() {
    return new ToleratedLosses(
        values.smallNumber("withstand.machines", 1),
        values.smallNumber("withstand.zones", 0),
        values.smallNumber("withstand.regions", 0));
  }

  private Bounds bounds() {
    return new Bounds(
        values.seconds("bounds.roster_lag_s", SettingsDefaults.ROSTER_LAG_S),
        values.seconds("bounds.reuse_after_s", 2),
        values.millis("bounds.contact_ms", SettingsDefaults.CONTACT_MS),
        values.millis("bounds.receipt_ms", SettingsDefaults.RECEIPT_MS),
        values.seconds("bounds.catch_up_s", SettingsDefaults.CATCH_UP_S),
        values.millis("bounds.drain_ms", SettingsDefaults.DRAIN_MS),
        values.seconds("bounds.grace_s", SettingsDefaults.GRACE_S),
        values.millis("bounds.loss_slack_ms", SettingsDefaults.LOSS_SLACK_MS),
        values.millis("bounds.in_force_ms", SettingsDefaults.IN_FORCE_MS),
        values.millis("bounds.return_slack_ms", SettingsDefaults.RETURN_SLACK_MS),
        values.millis("bounds.stretch_ms", SettingsDefaults.STRETCH_MS),
        values.flag("bounds.revoked_closed", true),
        values.millis("bounds.revoke_ms", SettingsDefaults.REVOKE_MS),
        values.fraction("bounds.retry_ratio", SettingsDefaults.RETRY_RATIO),
        values.seconds("bounds.retry_window_s", SettingsDefaults.RETRY_WINDOW_S),
        values.wholeNumber("bounds.retry_slack", 0),
        values.seconds("bounds.quota_window_s", SettingsDefaults.QUOTA_WINDOW_S),
        values.fraction("bounds.quota_over", SettingsDefaults.QUOTA_OVER),
        values.wholeNumber("bounds.quota_slack", 0),
        values.seconds("bounds.recover_s", SettingsDefaults.RECOVER_S),
        values.millis("bounds.pass_ms", SettingsDefaults.PASS_MS),
        values.seconds("bounds.again_s", SettingsDefaults.AGAIN_S));
  }
}
