package nettletrail.fleet.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsWatcherTest {
  private static final long TIMEOUT_SECONDS = 20;

  @TempDir private Path folder;
  private final BlockingQueue<FleetSettings> notified = new LinkedBlockingQueue<>();
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
  private Path file;
  private SettingsWatcher watcher;

  @BeforeEach
  void watch() throws Exception {
    file = folder.resolve("local.conf");
    Files.writeString(file, SettingsReaderTest.CORE);
    watcher = new SettingsWatcher(file, SettingsReader.read(file), executor, notified::add);
  }

  @AfterEach
  void stop() {
    watcher.close();
    executor.shutdownNow();
  }

  private void writeZone(String zone) throws Exception {
    Files.writeString(file, SettingsReaderTest.CORE.replace("zone=a\n", "zone=" + zone + "\n"));
  }

  private void checkAndWait() throws Exception {
    watcher.checkNow();
    executor.submit(() -> {}).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void changeIsDetectedWithoutASignal() throws Exception {
    writeZone("b");
    FleetSettings settings = notified.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(settings);
    assertEquals("b", settings.zone());
  }

  @Test
  void onlyValidChangesAreNotified() throws Exception {
    checkAndWait();
    Files.writeString(file, SettingsReaderTest.CORE + "# another comment\n");
    checkAndWait();
    writeZone("");
    checkAndWait();
    Files.delete(file);
    checkAndWait();
    assertTrue(notified.isEmpty());
    writeZone("c");
    checkAndWait();
    assertEquals("c", notified.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).zone());
    assertTrue(notified.isEmpty());
  }
}
