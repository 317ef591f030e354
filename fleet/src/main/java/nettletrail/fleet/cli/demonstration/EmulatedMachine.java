package nettletrail.fleet.cli.demonstration;

import java.nio.file.Path;

/**
 * An emulated machine of the fleet, which runs one process.
 *
 * @param name unique within the demonstration
 * @param role {@code door} or {@code core}
 * @param ip its loopback address
 * @param zone its failure domain
 * @param directory for its settings file, its disk and its log
 */
record EmulatedMachine(String name, String role, String ip, String zone, Path directory) {
  static final String DOOR = "door";
  static final String CORE = "core";

  /** The address for operators and backends; of a core machine only. */
  String controlAddress() {
    return ip + ":" + LoopbackNetwork.CONTROL_PORT;
  }

  /** The settings file. */
  Path settingsFile() {
    return directory.resolve("local.conf");
  }

  /** The directory for stored data; of a core machine only. */
  Path dataDirectory() {
    return directory.resolve("data");
  }

  /** The output of the process. */
  Path log() {
    return directory.resolve("log");
  }

  boolean isDoor() {
    return role.equals(DOOR);
  }
}
