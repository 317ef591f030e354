package nettletrail.fleet;

import java.nio.file.Path;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import nettletrail.fleet.cli.OperatorClient;
import nettletrail.fleet.settings.FleetSettings;
import nettletrail.fleet.settings.SettingsException;
import nettletrail.fleet.settings.SettingsReader;
import nettletrail.fleet.settings.SettingsWatcher;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * The fleet's binary: {@code door} and {@code core} are its roles as daemons; {@code warm-up}
 * exercises both for the archive of classes; everything else is the operators' client.
 *
 * <p>Exit codes: 0 after SIGTERM, 2 if the settings or the machine don't allow a start.
 */
public final class Main {
  private static final Logger LOG = LoggerFactory.getLogger(Main.class);
  private static final int CANNOT_START = 2;

  private Main() {}

  /** Starts a role, or the operators' client. */
  public static void main(String[] arguments) throws Exception {
    String command = arguments.length == 0 ? "help" : arguments[0];
    switch (command) {
      case "door" -> System.exit(daemon(Main::runDoor, arguments));
      case "core" -> System.exit(daemon(Main::runCore, arguments));
      case "warm-up" -> WarmUp.run();
      default -> System.exit(OperatorClient.run(arguments));
    }
  }

  private interface Role {
    void run(Path file, FleetSettings settings, OptionalInt metricsPort, HangUpSignal hangUp)
        throws StartException, InterruptedException;
  }

  private static int daemon(Role role, String[] arguments) throws InterruptedException {
    HangUpSignal hangUp = new HangUpSignal();
    hangUp.install();
    try {
      OptionalInt metricsPort = MetricsPort.of(arguments);
      Path file = SettingsReader.pathFrom(System.getenv());
      role.run(file, SettingsReader.read(file), metricsPort, hangUp);
      return 0;
    } catch (SettingsException | StartException fault) {
      LOG.error("{} can't start: {}", LogEvent.START_FAILED, fault.getMessage(), fault.getCause());
      return CANNOT_START;
    }
  }

  private static void runCore(
      Path file, FleetSettings settings, OptionalInt metricsPort, HangUpSignal hangUp)
      throws StartException, InterruptedException {
    CoreProcess process = new CoreProcess(settings);
    process.start();
    metricsPort.ifPresent(process::serveMetrics);
    SettingsWatcher watcher =
        new SettingsWatcher(file, settings, process.loop(), process::settingsChanged);
    hangUp.onReceived(watcher::checkNow);
    awaitTermination();
    process.close();
  }

  private static void runDoor(
      Path file, FleetSettings settings, OptionalInt metricsPort, HangUpSignal hangUp)
      throws StartException, InterruptedException {
    DoorProcess process = new DoorProcess(settings);
    process.start();
    metricsPort.ifPresent(process::serveMetrics);
    SettingsWatcher watcher =
        new SettingsWatcher(file, settings, process.loop(), process::settingsChanged);
    hangUp.onReceived(watcher::checkNow);
    awaitTermination();
    process.drain();
  }

  private static void awaitTermination() throws InterruptedException {
    CountDownLatch terminated = new CountDownLatch(1);
    Signal.handle(new Signal("TERM"), signal -> terminated.countDown());
    Signal.handle(new Signal("INT"), signal -> terminated.countDown());
    terminated.await();
  }
}
