package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Which core process counts as the owner of a shard when several lists differ. */
class OwnerDirectoryTest {
  private static final long MILLIS = 1_000_000L;
  private static final long DENIAL_EXPIRY = 200 * MILLIS;
  private static final int SHARD = 0;

  private final OwnerDirectory directory = new OwnerDirectory();
  private long now = 5_000 * MILLIS;

  @Test
  void ownerIsUnknownWithoutAList() {
    assertEquals(Optional.empty(), owner());
  }

  @Test
  void shardsOutsideAListOrWithoutAnOwnerAreUnknown() {
    directory.ownersChanged("a", List.of(""), now);
    assertEquals(Optional.empty(), owner());
    assertEquals(Optional.empty(), directory.owner(SHARD + 1, address -> true, now));
  }

  @Test
  void claimOfTheOwnerItselfWinsOverALaterListOfAnother() {
    directory.ownersChanged("a", List.of("a"), now);
    directory.ownersChanged("b", List.of("c"), now + 1);
    assertEquals(Optional.of("a"), owner());
  }

  @Test
  void listConfirmedLastWins() {
    directory.ownersChanged("a", List.of("x"), now);
    directory.ownersChanged("b", List.of("y"), now + 1);
    assertEquals(Optional.of("y"), owner());
    directory.ownersUnchanged("a", now + 2);
    assertEquals(Optional.of("x"), owner());
  }

  @Test
  void addressThatIsNotLinkedIsNotReturned() {
    directory.ownersChanged("a", List.of("a"), now);
    assertEquals(Optional.empty(), directory.owner(SHARD, address -> false, now));
  }

  @Test
  void denialExpires() {
    directory.ownersChanged("a", List.of("a"), now);
    directory.denied(SHARD, "a", now);
    now += DENIAL_EXPIRY - 1;
    assertEquals(Optional.empty(), owner());
    now += 1;
    assertEquals(Optional.of("a"), owner());
  }

  @Test
  void listsAndDenialsOfARemovedCoreProcessAreDropped() {
    directory.ownersChanged("a", List.of("a"), now);
    directory.denied(SHARD, "a", now);
    directory.remove("a");
    assertEquals(Optional.empty(), owner());
    directory.ownersChanged("a", List.of("a"), now);
    assertEquals(Optional.of("a"), owner());
  }

  private Optional<String> owner() {
    return directory.owner(SHARD, address -> true, now);
  }
}
