package nettletrail.control.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import nettletrail.protocol.RegistryUpdateReply;
import org.junit.jupiter.api.Test;

/** Which updates are acknowledged when withdrawals become durable. */
class PendingRepliesTest {
  private static final int MAX_PENDING = 256;

  private final PendingReplies replies = new PendingReplies("self");

  @Test
  void updateIsAcknowledgedOnceItsVersionIsDurable() {
    replies.add("a", 1, 5);
    replies.add("b", 2, 4);
    replies.add("a", 3, 6);
    assertEquals(List.of("b 2"), due(4));
    assertEquals(List.of("a 1"), due(5));
    assertEquals(List.of(), due(5));
    assertEquals(List.of("a 3"), due(9));
  }

  @Test
  void lostLinkDropsTheRepliesToThatPeerOnly() {
    replies.add("a", 1, 5);
    replies.add("b", 2, 5);
    replies.linkDown("a");
    assertEquals(List.of("b 2"), due(5));
  }

  @Test
  void oldestAreDroppedBeyondTheLimit() {
    for (int update = 0; update < MAX_PENDING + 3; update++) {
      replies.add("a", update, 1);
    }
    List<String> due = due(1);
    assertEquals(MAX_PENDING, due.size());
    assertEquals("a 3", due.get(0));
  }

  private List<String> due(long durableVersion) {
    return replies.due(version -> version <= durableVersion).stream()
        .map(RegistryAction.SendToCore.class::cast)
        .map(send -> send.address() + " " + ((RegistryUpdateReply) send.message()).getUpdate())
        .toList();
  }
}
