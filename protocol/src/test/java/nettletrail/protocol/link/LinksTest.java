package nettletrail.protocol.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.FeedAck;
import nettletrail.protocol.VersionQuery;
import nettletrail.protocol.link.LinkProcess.Event;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** {@link Links} of two processes on real sockets. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LinksTest {
  private static final String ANY_PORT = "127.0.0.1:0";
  private static final String DOOR = "counter-a-1";
  private static final String OTHER_CORE = "10.0.0.2:7680";

  @Test
  void doorAndCoreSendBothWaysUnderTheirKeys() throws Exception {
    try (LinkProcess core = LinkProcess.core("10.0.0.1:7680");
        LinkProcess door = LinkProcess.door(DOOR)) {
      String address = core.listen(ANY_PORT);
      assertFalse(door.send(address, new VersionQuery(1)), "nothing is dialled yet");
      door.dial(address);
      Peer corePeer = door.next(Event.Up.class).peer();
      Peer doorPeer = core.next(Event.Up.class).peer();
      assertEquals(address, corePeer.key());
      assertTrue(corePeer.dialled());
      assertEquals(DOOR, doorPeer.key());
      assertEquals(HelloMessages.DOOR_ROLE, doorPeer.role());
      assertFalse(doorPeer.dialled());
      assertTrue(door.send(address, new FeedAck(DOOR, 1L, 2L)));
      assertEquals(new FeedAck(DOOR, 1L, 2L), core.next(Event.Received.class).body());
      assertTrue(core.send(DOOR, new VersionQuery(4)));
      assertEquals(new VersionQuery(4), door.next(Event.Received.class).body());
    }
  }

  @Test
  void coreAnswersACoreThatItDoesNotDialOnTheAcceptedLink() throws Exception {
    try (LinkProcess first = LinkProcess.core("10.0.0.1:7680");
        LinkProcess second = LinkProcess.core(OTHER_CORE)) {
      second.dial(first.listen(ANY_PORT));
      assertEquals(OTHER_CORE, first.next(Event.Up.class).peer().key());
      second.next(Event.Up.class);
      assertTrue(first.send(OTHER_CORE, new VersionQuery(2)));
      assertEquals(new VersionQuery(2), second.next(Event.Received.class).body());
    }
  }

  @Test
  void messagesOfOneTurnArriveInOrder() throws Exception {
    try (LinkProcess core = LinkProcess.core("10.0.0.1:7680");
        LinkProcess door = LinkProcess.door(DOOR)) {
      String address = core.listen(ANY_PORT);
      door.dial(address);
      door.next(Event.Up.class);
      core.next(Event.Up.class);
      door.onLoop(
          () -> {
            for (int shard = 0; shard < 500; shard++) {
              assertTrue(door.links.send(address, new VersionQuery(shard)));
            }
            return null;
          });
      for (int shard = 0; shard < 500; shard++) {
        assertEquals(new VersionQuery(shard), core.next(Event.Received.class).body());
      }
    }
  }

  @Test
  void redialsUntilThePeerListensAndAgainAfterItsRestart() throws Exception {
    try (LinkProcess door = LinkProcess.door(DOOR)) {
      String address;
      try (LinkProcess core = LinkProcess.core("10.0.0.1:7680")) {
        address = core.listen(ANY_PORT);
        door.dial(address);
        door.next(Event.Up.class);
      }
      assertEquals(address, door.next(Event.Down.class).peer().key());
      assertFalse(door.send(address, new VersionQuery(1)));
      try (LinkProcess restarted = LinkProcess.core("10.0.0.1:7680")) {
        restarted.listen(address);
        assertEquals(address, door.next(Event.Up.class).peer().key());
        assertEquals(DOOR, restarted.next(Event.Up.class).peer().key());
        assertTrue(door.send(address, new VersionQuery(1)));
      }
    }
  }

  @Test
  void newerLinkOfTheSamePeerReplacesTheOlder() throws Exception {
    LinkSettings settings = LinkSettings.defaults();
    try (LinkProcess core = LinkProcess.core("10.0.0.1:7680");
        LinkProcess before = new LinkProcess(DOOR, "", HelloMessages.DOOR_ROLE, 1, settings);
        LinkProcess after = new LinkProcess(DOOR, "", HelloMessages.DOOR_ROLE, 2, settings)) {
      String address = core.listen(ANY_PORT);
      before.dial(address);
      assertEquals(1, core.next(Event.Up.class).peer().hello().getIncarnation());
      before.next(Event.Up.class);
      before.onLoop(
          () -> {
            after.dial(address);
            assertEquals(1, core.next(Event.Down.class).peer().hello().getIncarnation());
            assertEquals(2, core.next(Event.Up.class).peer().hello().getIncarnation());
            before.links.stopDialling(address);
            return null;
          });
      assertTrue(core.send(DOOR, new VersionQuery(3)));
      after.next(Event.Up.class);
      assertEquals(new VersionQuery(3), after.next(Event.Received.class).body());
    }
  }

  @Test
  void undialledAddressIsNotDialledAgain() throws Exception {
    try (LinkProcess core = LinkProcess.core("10.0.0.1:7680");
        LinkProcess door = LinkProcess.door(DOOR)) {
      String address = core.listen(ANY_PORT);
      door.dial(address);
      door.next(Event.Up.class);
      core.next(Event.Up.class);
      door.onLoop(
          () -> {
            door.links.stopDialling(address);
            assertTrue(door.links.dialledAddresses().isEmpty());
            return null;
          });
      door.next(Event.Down.class);
      core.next(Event.Down.class);
      assertFalse(door.send(address, new VersionQuery(1)));
    }
  }

  @Test
  void messageAboveTheFrameLimitIsDroppedAndTheLinkStaysUp() throws Exception {
    LinkSettings small = new LinkSettings(1000, 100_000, 8, 400, 1600, 500, 50, 500);
    try (LinkProcess core = new LinkProcess("core", "10.0.0.1:7680", "core", 1, small);
        LinkProcess door = new LinkProcess(DOOR, "", HelloMessages.DOOR_ROLE, 1, small)) {
      String address = core.listen(ANY_PORT);
      door.dial(address);
      door.next(Event.Up.class);
      core.next(Event.Up.class);
      ByteBuffer document = ByteBuffer.wrap(new byte[2_000]);
      assertFalse(
          core.send(DOOR, new ConfigurationChunk(1L, 1L, document.remaining(), 0, document)));
      assertTrue(core.send(DOOR, new VersionQuery(1)));
      assertEquals(new VersionQuery(1), door.next(Event.Received.class).body());
    }
  }

  @Test
  void useOffTheEventLoopIsRejected() throws Exception {
    try (LinkProcess core = LinkProcess.core("10.0.0.1:7680")) {
      assertThrows(
          IllegalStateException.class, () -> core.links.send(OTHER_CORE, new VersionQuery(1)));
    }
  }

  @Test
  void addressThatIsNoIpAndPortIsRejected() throws Exception {
    try (LinkProcess core = LinkProcess.core("10.0.0.1:7680")) {
      ProtocolException failure =
          assertThrows(ProtocolException.class, () -> core.links.listen("localhost:80"));
      assertEquals(LinkStep.ACCEPT, failure.step());
      core.dial("nowhere");
      assertTrue(core.onLoop(() -> core.links.dialledAddresses().isEmpty()));
    }
  }
}
