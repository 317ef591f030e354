package nettletrail.control.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import nettletrail.protocol.RegistryUpdate;
import nettletrail.protocol.RegistryUpdateReply;
import org.junit.jupiter.api.Test;

/** Which update an acknowledgement of another core process covers. */
class CorePeersTest {
  private static final String PEER = "10.0.0.2:7000";
  private static final long FIRST_INCARNATION = 41;
  private static final long NEXT_INCARNATION = 42;

  @Test
  void acknowledgementToAFormerIncarnationCoversNothing() {
    CorePeers former = new CorePeers("self", FIRST_INCARNATION);
    RegistryUpdate late = update(former, "b-former", 0);
    CorePeers next = new CorePeers("self", NEXT_INCARNATION);
    RegistryUpdate own = update(next, "b-next", 0);
    assertTrue(next.acknowledged(PEER, reply(late)).isEmpty());
    assertEquals("b-next", next.acknowledged(PEER, reply(own)).get(0).getId());
  }

  @Test
  void acknowledgementFromBeforeAPeerWasRemovedCoversNothing() {
    CorePeers peers = new CorePeers("self", FIRST_INCARNATION);
    RegistryUpdate late = update(peers, "b-before", 0);
    peers.linkDown(PEER);
    peers.updateMembers(List.of());
    assertTrue(peers.isEmpty());
    update(peers, "b-after", 1);
    assertTrue(peers.acknowledged(PEER, reply(late)).isEmpty());
  }

  private static RegistryUpdate update(CorePeers peers, String backend, long now) {
    peers.linkUp(PEER, List.of(backend(backend)), now);
    RegistryAction.SendToCore send = (RegistryAction.SendToCore) peers.updatesDue(now).get(0);
    return (RegistryUpdate) send.message();
  }

  private static RegistryUpdateReply reply(RegistryUpdate update) {
    return new RegistryUpdateReply(PEER, update.getUpdate());
  }

  private static Backend backend(String id) {
    return new Backend(id, "s", "a:1", "z", "v", 1, BackendState.CLOSING, 0L, "", List.of(), 1L);
  }
}
