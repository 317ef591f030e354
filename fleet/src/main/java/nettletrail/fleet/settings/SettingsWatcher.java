package nettletrail.fleet.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the settings file once a second, and on demand, and notifies a listener of valid settings
 * that differ from the current ones.
 *
 * <p>A file that can't be read or has faults is logged once, and the current settings stay active.
 * The file is read and the listener called on the given executor only.
 */
public final class SettingsWatcher implements AutoCloseable {
  /** Notified of new settings, on the watcher's executor. */
  public interface Listener {
    /** The file's settings have changed and are valid. */
    void settingsChanged(FleetSettings settings);
  }

  private static final Logger LOG = LoggerFactory.getLogger(SettingsWatcher.class);
  private static final long POLL_INTERVAL_MS = 1_000;

  private final Path file;
  private final ScheduledExecutorService executor;
  private final Listener listener;
  private final ScheduledFuture<?> pollTask;
  private FleetSettings current;
  private byte[] lastContent = {};
  private boolean unreadableLogged;

  /**
   * Starts to poll.
   *
   * @param file the settings file
   * @param current the settings that the process runs with
   * @param executor a single thread, such as an event loop
   * @param listener notified on the executor
   */
  public SettingsWatcher(
      Path file, FleetSettings current, ScheduledExecutorService executor, Listener listener) {
    this.file = file;
    this.current = current;
    this.executor = executor;
    this.listener = listener;
    this.pollTask =
        executor.scheduleWithFixedDelay(
            this::poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Polls at once, as after SIGHUP. May be called on any thread. */
  public void checkNow() {
    executor.execute(this::poll);
  }

  /** Stops polling; a poll that has started still ends. */
  @Override
  public void close() {
    pollTask.cancel(false);
  }

  private void poll() {
    byte[] content;
    try {
      content = Files.readAllBytes(file);
      unreadableLogged = false;
    } catch (IOException failure) {
      logUnreadable(failure);
      return;
    }
    if (Arrays.equals(content, lastContent)) {
      return;
    }
    lastContent = content;
    apply(content);
  }

  private void logUnreadable(IOException failure) {
    if (!unreadableLogged) {
      LOG.warn(
          "{} settings file {} can't be read; the settings before stay: {}",
          LogEvent.SETTINGS_UNREADABLE,
          file,
          failure.toString());
    }
    unreadableLogged = true;
  }

  private void apply(byte[] content) {
    try {
      FleetSettings parsed = SettingsReader.parse(content, file.toString());
      if (!parsed.equals(current)) {
        current = parsed;
        listener.settingsChanged(parsed);
      }
    } catch (SettingsException failure) {
      LOG.warn("{} {}; the settings before stay", LogEvent.SETTINGS_FAULTY, failure.getMessage());
    }
  }
}
