package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettletrail.protocol.Directory;
import nettletrail.protocol.Member;
import org.junit.jupiter.api.Test;

/** Which core processes a door dials, and when it gives one up. */
class CoreLinksTest {
  private static final long MILLIS = 1_000_000L;
  private static final long UNDIAL_DELAY = 30_000 * MILLIS;
  private static final String SEED = "10.0.0.1:7680";
  private static final String MEMBER = "10.0.0.2:7680";

  private final CoreLinks links = new CoreLinks(List.of(SEED));
  private long now = 5_000 * MILLIS;

  @Test
  void seedIsDialledOnce() {
    assertEquals(List.of(new DoorAction.Dial(SEED)), links.dialSeeds(now));
    assertEquals(List.of(), links.dialSeeds(now));
  }

  @Test
  void membersOfADirectoryAreDialled() {
    links.dialSeeds(now);
    CoreLink seed = links.find(SEED).orElseThrow();
    seed.directoryChanged(directory());
    assertEquals(List.of(new DoorAction.Dial(MEMBER)), links.dialMembers(seed, now));
    assertEquals(List.of(SEED, MEMBER), links.all().stream().map(CoreLink::address).toList());
  }

  @Test
  void linkThatIsDownAndUnlistedIsRemovedAfterTheDelay() {
    links.dialSeeds(now);
    links.seedsChanged(List.of());
    now += UNDIAL_DELAY;
    links.dialSeeds(now);
    assertEquals(List.of(), links.removeObsolete(now));
    assertEquals(List.of(SEED), links.removeObsolete(now + 1));
    assertTrue(links.find(SEED).isEmpty());
  }

  @Test
  void linkThatIsUpIsKeptThoughUnlisted() {
    links.dialSeeds(now);
    links.linkUp(SEED, now);
    links.seedsChanged(List.of());
    assertEquals(List.of(), links.removeObsolete(now + 2 * UNDIAL_DELAY));
    assertTrue(links.isUp(SEED));
  }

  @Test
  void listedLinkIsKeptThoughDown() {
    links.dialSeeds(now);
    now += UNDIAL_DELAY;
    links.dialSeeds(now);
    assertEquals(List.of(), links.removeObsolete(now + 1));
    assertFalse(links.isUp(SEED));
  }

  private static Directory directory() {
    return new Directory(1L, List.of(member(SEED), member(MEMBER)), List.of());
  }

  private static Member member(String address) {
    return new Member(address, address);
  }
}
