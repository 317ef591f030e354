package nettletrail.emulator.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import nettletrail.control.ShardMap;
import nettletrail.emulator.checker.OwnershipChecker;
import nettletrail.emulator.checker.Violation;
import nettletrail.emulator.host.CoreObserver;
import nettletrail.emulator.host.EmulatedCoreProcess;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Accept;
import nettletrail.protocol.GrantReply;
import nettletrail.protocol.ProposalNumber;

/** Reports what core processes do with leases and fencing tokens to an {@link OwnershipChecker}. */
final class OwnershipObserver implements CoreObserver {
  private final VirtualTime time;
  private final Supplier<List<EmulatedCoreProcess>> processes;
  private final OwnershipChecker checker;

  /**
   * @param processes all core processes that have not ended, frozen ones included
   */
  OwnershipObserver(
      VirtualTime time,
      Supplier<List<EmulatedCoreProcess>> processes,
      Consumer<Violation> violations) {
    this.time = time;
    this.processes = processes;
    this.checker = new OwnershipChecker(violations);
  }

  @Override
  public void stepped(EmulatedCoreProcess process) {
    for (int shard = 0; shard < ShardMap.SHARD_COUNT; shard++) {
      if (process.ownsNow(shard)) {
        checkSingleOwner(shard);
      }
    }
  }

  private void checkSingleOwner(int shard) {
    List<String> owners = new ArrayList<>();
    for (EmulatedCoreProcess process : processes.get()) {
      if (process.ownsNow(shard)) {
        owners.add(process.name());
      }
    }
    checker.leaseOwners(time.now(), shard, owners);
  }

  @Override
  public void accepting(EmulatedCoreProcess process, Accept message) {
    String token = text(message.getProposal());
    String content =
        digest(message.getVersion().getValue()) + " " + message.getVersion().getMembers();
    checker.tokenUsed(time.now(), message.getShard(), token, process.name());
    checker.written(
        time.now(), message.getShard(), token, message.getVersion().getSequence(), content);
  }

  @Override
  public void granting(EmulatedCoreProcess process, GrantReply message) {
    if (message.getOwner()) {
      String token = text(message.getToken());
      checker.tokenUsed(time.now(), message.getShard(), token, process.name());
    }
  }

  private static String text(ProposalNumber proposal) {
    return proposal.getTerm() + "/" + proposal.getNode();
  }

  private static int digest(ByteBuffer value) {
    byte[] bytes = new byte[value.remaining()];
    value.duplicate().get(bytes);
    return Arrays.hashCode(bytes);
  }
}
