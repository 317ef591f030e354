package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.SplittableRandom;

/**
 * The addresses of a demonstration. Each machine has its own address in 127.0.0.0/8, and all use
 * the same ports. Not thread-safe.
 */
final class LoopbackNetwork {
  static final int PUBLIC_PORT = 8662;
  static final int READY_PORT = 8663;
  static final int CONTROL_PORT = 8665;
  static final int FIRST_SPARE_PORT = 7680;
  static final int LAST_SPARE_PORT = 7695;
  static final int BACKEND_PORT = 8080;

  private static final int MAX_ATTEMPTS = 20;
  private static final int HOST_BASE = 10;
  private static final int SUBNET_LIMIT = 250;

  private final String prefix;
  private int lastHost = HOST_BASE;

  private LoopbackNetwork(String prefix) {
    this.prefix = prefix;
  }

  /**
   * Selects a random network in which the first address is free.
   *
   * @throws IOException if none was found in several attempts
   */
  static LoopbackNetwork findFree() throws IOException {
    SplittableRandom random =
        new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid());
    IOException last = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      String prefix =
          "127." + random.nextInt(1, SUBNET_LIMIT) + "." + random.nextInt(SUBNET_LIMIT) + ".";
      try (ServerSocket probe = new ServerSocket()) {
        probe.bind(new InetSocketAddress(prefix + (HOST_BASE + 1), CONTROL_PORT));
        return new LoopbackNetwork(prefix);
      } catch (IOException inUse) {
        last = inUse;
      }
    }
    throw new IOException("no free loopback addresses were found: " + last, last);
  }

  /** A new address for a machine. */
  String nextAddress() {
    lastHost++;
    return prefix + lastHost;
  }
}
