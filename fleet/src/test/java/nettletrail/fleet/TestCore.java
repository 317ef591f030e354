package nettletrail.fleet;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.SplittableRandom;
import nettletrail.fleet.settings.SettingsException;
import nettletrail.fleet.settings.SettingsReader;

/** A core of one in this process, on a loopback address of its own. */
final class TestCore implements AutoCloseable {
  private static final int CONTROL_PORT = 8665;
  private static final int LINK_PORT = 7680;

  private final String ip;
  private final CoreProcess process;
  private boolean closed;

  TestCore(Path dataDirectory) throws IOException, SettingsException, StartException {
    this(dataDirectory, freeAddress());
  }

  /** A core at an address that an earlier one on this disk had. */
  TestCore(Path dataDirectory, String ip) throws IOException, SettingsException, StartException {
    this.ip = ip;
    String settings =
        """
        node=core-1
        ip=%1$s
        zone=a
        serves=dispatch_office
        spare_ports=7680,7695
        seed_nodes=%2$s
        first_run=true
        ports.control_gate=%2$s
        data_dir=%3$s
        """
            .formatted(ip, address(), dataDirectory);
    process = new CoreProcess(SettingsReader.parse(settings, "test"));
    process.start();
  }

  /** Where the operator calls it. */
  String address() {
    return ip + ":" + CONTROL_PORT;
  }

  /** Answers questions for the figures of this process on a port of its address. */
  void serveMetrics(int port) {
    process.serveMetrics(port);
  }

  /** Where other processes of the fleet dial it. */
  String linkAddress() {
    return ip + ":" + LINK_PORT;
  }

  /** The address that it has for itself. */
  String ip() {
    return ip;
  }

  /** An address for a door of this core. */
  String doorIp() {
    return ip.substring(0, ip.lastIndexOf('.')) + ".10";
  }

  private static String freeAddress() throws IOException {
    SplittableRandom random = new SplittableRandom(System.nanoTime());
    while (true) {
      String ip = "127." + random.nextInt(1, 250) + "." + random.nextInt(250) + ".9";
      try (ServerSocket probe = new ServerSocket()) {
        probe.bind(new InetSocketAddress(ip, CONTROL_PORT));
        return ip;
      } catch (BindException taken) {
        // Another address is drawn.
      }
    }
  }

  @Override
  public void close() {
    if (!closed) {
      closed = true;
      process.close();
    }
  }
}
