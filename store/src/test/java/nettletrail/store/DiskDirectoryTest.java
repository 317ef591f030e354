package nettletrail.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@link DiskDirectory} on the disk of the machine that runs the tests. */
class DiskDirectoryTest {

  @TempDir Path folder;

  @Test
  void givenMissingFile_whenRead_thenTheFailureNamesStepAndFile() throws StorageException {
    Directory directory = DiskDirectory.open(folder);
    StorageException failure = assertThrows(StorageException.class, () -> directory.read("absent"));
    assertEquals(StorageException.Step.READ, failure.step());
    assertTrue(failure.file().endsWith("absent"));
  }
}
