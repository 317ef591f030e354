package nettletrail.fleet.cli.demonstration;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/**
 * The doors that are ready, found by polling their readiness checks as the platform does, and the
 * selection of a door by clients, who prefer those of their zone. Thread-safe.
 */
final class ReadyDoors implements AutoCloseable {
  private static final long POLL_INTERVAL_MS = 300;
  private static final int TIMEOUT_MS = 500;
  private static final int OK = 200;

  private final List<EmulatedMachine> doors;
  private final Thread poller;
  private volatile List<EmulatedMachine> ready = List.of();

  /** Starts to poll on an own thread. */
  ReadyDoors(List<EmulatedMachine> doors) {
    this.doors = List.copyOf(doors);
    this.poller = new Thread(this::pollUntilInterrupted, "door-directory");
    poller.setDaemon(true);
    poller.start();
  }

  /** The doors that were ready when last polled. */
  List<EmulatedMachine> current() {
    return ready;
  }

  /**
   * Selects a door for a client: one that is ready in its zone, else one that is ready, else any.
   *
   * @param random selects among them
   */
  InetSocketAddress choose(String zone, int random) {
    List<EmulatedMachine> snapshot = ready;
    List<EmulatedMachine> near =
        snapshot.stream().filter(door -> door.zone().equals(zone)).toList();
    List<EmulatedMachine> anywhere = snapshot.isEmpty() ? doors : snapshot;
    List<EmulatedMachine> candidates = near.isEmpty() ? anywhere : near;
    EmulatedMachine door = candidates.get(Math.floorMod(random, candidates.size()));
    return new InetSocketAddress(door.ip(), LoopbackNetwork.PUBLIC_PORT);
  }

  @Override
  public void close() {
    poller.interrupt();
  }

  private void pollUntilInterrupted() {
    try {
      while (true) {
        List<EmulatedMachine> polled = new ArrayList<>();
        for (EmulatedMachine door : doors) {
          if (isReady(door)) {
            polled.add(door);
          }
        }
        ready = List.copyOf(polled);
        Thread.sleep(POLL_INTERVAL_MS);
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /** Checks a door's readiness now; blocks for as long as a time-out. */
  static boolean isReady(EmulatedMachine door) {
    try {
      URI uri =
          URI.create(
              "http://" + door.ip() + ":" + LoopbackNetwork.READY_PORT + "/nettletrail/ready");
      HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
      connection.setConnectTimeout(TIMEOUT_MS);
      connection.setReadTimeout(TIMEOUT_MS);
      int status = connection.getResponseCode();
      connection.disconnect();
      return status == OK;
    } catch (IOException notReady) {
      return false;
    }
  }
}
