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
 * Looks at the settings file about every second, and on demand, and tells a listener of settings
 * that changed and can be used.
 *
 * <p>A file that can't be read or has faults is logged once, and the settings before it stay in
 * force. Looking and telling happen on the given executor only.
 */
public final class SettingsWatcher implements AutoCloseable {
  /** Told of new settings, on the watcher's executor. */
  public interface Listener {
    /** The file holds other settings than before, and they can be used. */
    void changed(FleetSettings settings);
  }

  private static final Logger LOG = LoggerFactory.getLogger(SettingsWatcher.class);
  private static final long POLL_MILLIS = 1000;

  private final Path file;
  private final ScheduledExecutorService executor;
  private final Listener listener;
  private final ScheduledFuture<?> polls;
  private FleetSettings current;
  private byte[] lastContent = {};
  private boolean unreadable;

  /**
   * Begins to watch.
   *
   * @param current what the process runs with
   * @param executor a single thread, such as an event loop
   */
  public SettingsWatcher(
      Path file, FleetSettings current, ScheduledExecutorService executor, Listener listener) {
    this.file = file;
    this.current = current;
    this.executor = executor;
    this.listener = listener;
    this.polls =
        executor.scheduleWithFixedDelay(
            this::look, POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Looks at once, as after SIGHUP. May be called on any thread. */
  public void checkNow() {
    executor.execute(this::look);
  }

  @Override
  public void close() {
    polls.cancel(false);
  }

  private void look() {
    byte[] content;
    try {
      content = Files.readAllBytes(file);
      unreadable = false;
    } catch (IOException failure) {
      logUnreadable(failure);
      return;
    }
    if (Arrays.equals(content, lastContent)) {
      return;
    }
    lastContent = content;
    take(content);
  }

  private void logUnreadable(IOException failure) {
    if (!unreadable) {
      LOG.warn(
          "{} settings file {} can't be read; the settings before stay: {}",
          LogEvent.SETTINGS_UNREADABLE,
          file,
          failure.toString());
    }
    unreadable = true;
  }

  private void take(byte[] content) {
    try {
      FleetSettings read = SettingsReader.parse(content, file.toString());
      if (!read.equals(current)) {
        current = read;
        listener.changed(read);
      }
    } catch (SettingsException failure) {
      LOG.warn("{} {}; the settings before stay", LogEvent.SETTINGS_FAULTY, failure.getMessage());
    }
  }
}
