package nettletrail.control.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import nettletrail.protocol.ConfigurationChange;
import org.junit.jupiter.api.Test;

/** Whether a version that stands on a disk was committed. */
class StoredConfigurationTest {
  private static final byte FIRST = 1;
  private static final byte LOST = 2;
  private static final byte ACKNOWLEDGED = 3;
  private static final byte LATER = 4;

  private final StoredConfiguration committed =
      version(change(5, FIRST), change(7, ACKNOWLEDGED), change(9, LATER));

  @Test
  void earlierCommittedVersionsAreCommittedInALaterOne() {
    assertTrue(version(change(5, FIRST)).isCommittedIn(committed));
    assertTrue(version(change(5, FIRST), change(7, ACKNOWLEDGED)).isCommittedIn(committed));
    assertTrue(committed.isCommittedIn(committed));
  }

  /** Guards against a rollback to a change that was rejected. */
  @Test
  void lostVersionWithTheEditionOfACommittedOneIsNotCommitted() {
    StoredConfiguration lost = version(change(5, FIRST), change(7, LOST));
    assertEquals(7, lost.edition());
    assertFalse(lost.isCommittedIn(committed));
  }

  @Test
  void versionThatIsNotCommittedYetOrHasNoChangeIsNotCommitted() {
    StoredConfiguration next = version(change(5, FIRST), change(7, ACKNOWLEDGED));
    assertFalse(committed.isCommittedIn(next));
    assertFalse(new StoredConfiguration(1, 0, new byte[0], List.of()).isCommittedIn(committed));
  }

  @Test
  void digestOfAnEarlierReleaseIsComparedByItsBeginning() {
    byte[] complete = new byte[2 * AppliedChanges.DIGEST_BYTES];
    Arrays.fill(complete, ACKNOWLEDGED);
    ConfigurationChange earlier = new ConfigurationChange(7L, ByteBuffer.wrap(complete));
    assertTrue(version(change(5, FIRST), earlier).isCommittedIn(committed));
    complete[0] = LOST;
    assertFalse(version(change(5, FIRST), earlier).isCommittedIn(committed));
  }

  private static ConfigurationChange change(long edition, byte digest) {
    byte[] bytes = new byte[AppliedChanges.DIGEST_BYTES];
    Arrays.fill(bytes, digest);
    return new ConfigurationChange(edition, ByteBuffer.wrap(bytes));
  }

  private static StoredConfiguration version(ConfigurationChange... changes) {
    long edition = changes[changes.length - 1].getEdition();
    return new StoredConfiguration(changes.length, edition, new byte[0], List.of(changes));
  }
}
