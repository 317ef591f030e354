package nettletrail.fleet.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * All that the platform tells a process about itself and its surroundings. Made by {@link
 * SettingsReader} only, which checks it.
 *
 * @param node the machine's name
 * @param role the role's name in the deploy file
 * @param machineClass the class of the machine
 * @param serves which callers from outside reach this role; see {@link #SERVES_CLIENTS} and {@link
 *     #SERVES_CONTROL}
 * @param ip the machine's address
 * @param zone the machine's zone
 * @param region the zone's region
 * @param zones the region of each zone, by the zone's name
 * @param publicGate where clients are served, as {@code ip:port}
 * @param readyGate where readiness is told, as {@code ip:port}
 * @param controlGate where the operator and the backends are served, as {@code ip:port}
 * @param sparePorts ports for the fleet's own links
 * @param seeds control addresses of some machines of the core, as {@code ip:port}; may be empty,
 *     down or cut off
 * @param firstRun true at the first start of the whole system only
 * @param countsForQuorum whether the machine counts among those that may be lost
 * @param limits what the machine gives this process
 * @param dataDirectory the disk's folder, on machines with a disk
 * @param heartbeatInterval how often a backend calls
 * @param clauses names of the rules in force
 * @param toleratedLosses what may be lost at one time
 * @param bounds figures of the rules
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
    Limits limits,
    Optional<Path> dataDirectory,
    Duration heartbeatInterval,
    Set<String> clauses,
    ToleratedLosses toleratedLosses,
    Bounds bounds) {

  /** Among {@link #serves}: clients are served. */
  public static final String SERVES_CLIENTS = "counter";

  /** Among {@link #serves}: the operator and the backends are served. */
  public static final String SERVES_CONTROL = "dispatch_office";

  /** The variable of the environment that names the settings file. */
  public static final String PATH_VARIABLE = "NETTLETRAIL_NODE_FILE";

  /** The port of the fleet's own links, the same on all machines. */
  public int internalPort() {
    return sparePorts.first();
  }

  /** Where other processes dial this one, as {@code ip:port}. */
  public String internalAddress() {
    return ip + ":" + internalPort();
  }

  /** Where the seeds are dialled, as {@code ip:port}, in the order of {@link #seeds}. */
  public List<String> seedInternalAddresses() {
    return seeds.stream().map(this::internalAddressOf).distinct().toList();
  }

  /**
   * Where an address of these settings is bound or dialled; it holds an IP number, so nothing is
   * looked up.
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
