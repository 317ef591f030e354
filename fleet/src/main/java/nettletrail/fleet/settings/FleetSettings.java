package nettletrail.fleet.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The checked settings of one process: its machine, its addresses and the limits that it operates
 * under. Immutable; created by {@link SettingsReader} only.
 *
 * @param node the machine's name
 * @param role the role's name in the deploy file
 * @param machineClass the platform's name for the type of machine
 * @param serves which kinds of external callers this role serves; see {@link #SERVES_CLIENTS} and
 *     {@link #SERVES_CONTROL}
 * @param ip the machine's IPv4 address
 * @param zone the machine's zone
 * @param region the zone's region
 * @param zones the region of each zone, by the zone's name
 * @param publicGate address at which clients are served, as {@code ip:port}
 * @param readyGate address of the readiness check, as {@code ip:port}
 * @param controlGate address at which operators and backends are served, as {@code ip:port}
 * @param sparePorts ports for the fleet's internal links
 * @param seeds control addresses of some core machines, as {@code ip:port}; may be empty, and any
 *     of them may be down or unreachable
 * @param firstRun true only at the first start of the complete system
 * @param countsForQuorum whether the machine counts towards {@link ToleratedLosses#machines}
 * @param limits resources that the machine gives this process
 * @param dataDirectory directory for stored data; empty on machines without a disk
 * @param heartbeatInterval time between two heartbeats of a backend; above 0
 * @param clauses names of the rules that apply
 * @param toleratedLosses failures that must be survived at one time
 * @param bounds operating limits
 */
public record FleetSettings(
    String node,
    String role,
    String machineClass,
    Set<String> serves,
    String ip,
    String zone,
    String region,
    Map<String, String> zones,
    Optional<String> publicGate,
    Optional<String> readyGate,
    Optional<String> controlGate,
    PortRange sparePorts,
    List<String> seeds,
    boolean firstRun,
    boolean countsForQuorum,
    MachineLimits limits,
    Optional<Path> dataDirectory,
    Duration heartbeatInterval,
    Set<String> clauses,
    ToleratedLosses toleratedLosses,
    OperatingLimits bounds) {

  /** The value of {@link #serves} for a role that serves clients. */
  public static final String SERVES_CLIENTS = "counter";

  /** The value of {@link #serves} for a role that serves operators and backends. */
  public static final String SERVES_CONTROL = "dispatch_office";

  /** The environment variable that holds the path of the settings file. */
  public static final String PATH_VARIABLE = "NETTLETRAIL_NODE_FILE";

  /** The port of the fleet's internal links, the same on all machines. */
  public int internalPort() {
    return sparePorts.first();
  }

  /** The address at which other processes of the fleet connect, as {@code ip:port}. */
  public String internalAddress() {
    return ip + ":" + internalPort();
  }

  /** The internal addresses of {@link #seeds}, as {@code ip:port}, in their order. */
  public List<String> seedInternalAddresses() {
    return seeds.stream().map(this::internalAddressOf).distinct().toList();
  }

  /**
   * Converts an address of these settings. No name is resolved, since its host is an IP address.
   *
   * @param address {@code ip:port}, as checked by {@link SettingsReader}
   */
  public static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return new InetSocketAddress(address.substring(0, colon), port);
  }

  private String internalAddressOf(String controlAddress) {
    String seedIp = controlAddress.substring(0, controlAddress.lastIndexOf(':'));
    return seedIp + ":" + internalPort();
  }
}
