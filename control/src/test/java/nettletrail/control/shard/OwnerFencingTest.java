package nettletrail.control.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import nettletrail.protocol.Ballot;
import nettletrail.protocol.OrderForward;
import nettletrail.protocol.ShardVersion;
import nettletrail.protocol.VersionReply;
import nettletrail.store.NodeIdentity;
import org.junit.jupiter.api.Test;

/** What an owner says that was cut off while another process took over from it. */
class OwnerFencingTest {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  @Test
  void givenAWriteInHandWhenAnotherOwnersVersionTakesItsNumberThenItIsNotConfirmed() {
    ScriptedOwner owner = ownerWithFirstConfiguration();
    owner.connected = false;
    long call = owner.put(3, "5 mine");
    owner.receive(ScriptedOwner.PEER, versionOfNewOwner(owner, "5 another"));
    assertEquals(UNAVAILABLE, owner.status(call));
  }

  @Test
  void givenAWriteInHandWhenTheNewOwnerHasCommittedItThenItIsConfirmed() {
    ScriptedOwner owner = ownerWithFirstConfiguration();
    owner.connected = false;
    long call = owner.put(3, "5 mine");
    owner.receive(ScriptedOwner.PEER, versionOfNewOwner(owner, "5 mine"));
    assertEquals(OK, owner.status(call));
  }

  private static ScriptedOwner ownerWithFirstConfiguration() {
    ScriptedOwner owner = ScriptedOwner.elected();
    long call = owner.put(0, "3 first");
    assertEquals(OK, owner.status(call));
    return owner;
  }

  /** The version after the owner's newest committed one, as committed by another owner. */
  private static VersionReply versionOfNewOwner(ScriptedOwner owner, String document) {
    ShardVersion before = owner.stored.get(ScriptedOwner.PEER);
    Ballot ballot =
        new Ballot(
            before.getBallot().getRound() + 1, NodeIdentity.founding(ScriptedOwner.PEER).getId());
    byte[] json = document.getBytes(StandardCharsets.UTF_8);
    OrderForward order = new OrderForward(1L, "PUT", "3", ByteBuffer.wrap(json));
    ConfigurationState state =
        ConfigurationState.decode(before.getValue())
            .after(
                new ConfigurationRules.CheckedDocument(5, json),
                ConfigurationState.digest(order, 3));
    return new VersionReply(
        CoreShards.CONFIGURATION_SHARD,
        new ShardVersion(
            ballot,
            before.getSequence() + 1,
            List.copyOf(before.getMembers()),
            ByteBuffer.wrap(state.encode())));
  }
}
