package nettletrail.emulator.explore;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import nettletrail.control.shard.CoreAction;
import nettletrail.control.shard.CoreShards;
import nettletrail.emulator.actors.OrderDocument;
import nettletrail.emulator.checker.ConfigurationOperation.Order;

/**
 * What must hold of a register whose operators all build on one version: one owner, one order
 * acknowledged, nothing committed beside it.
 */
final class RegisterChecks implements Consumer<CoreAction> {
  private static final long FIRST_ORDER_EDITION = 10;
  private static final long READ_CALL = 1;
  private static final int OK = 200;

  private final Map<Long, Long> announced = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long acknowledgedEdition;
  private long editionRead;

  /** Sends an operator's order to a replica. */
  void submit(ReplicaNetwork network, SimulatedReplica replica, int number) {
    long edition = FIRST_ORDER_EDITION + number;
    Order order = new Order((int) edition, 0, edition);
    byte[] body = new OrderDocument(order, null).json().getBytes(StandardCharsets.UTF_8);
    network.perform(replica, replica.shards().submit(edition, "PUT", "0", body, network.now()));
  }

  /** Sends an operator's read to a replica; see {@link #editionRead}. */
  void read(ReplicaNetwork network, SimulatedReplica replica) {
    editionRead = 0;
    byte[] nothing = new byte[0];
    network.perform(replica, replica.shards().submit(READ_CALL, "GET", "", nothing, network.now()));
  }

  /** What the last read returned; 0 if it was not answered with a document. */
  long editionRead() {
    return editionRead;
  }

  /** The edition that was acknowledged, or 0. */
  long acknowledgedEdition() {
    return acknowledgedEdition;
  }

  @Override
  public void accept(CoreAction action) {
    if (action instanceof CoreAction.AnswerOperator answer) {
      answered(answer);
    } else if (action instanceof CoreAction.CommittedConfiguration committed) {
      announced(committed);
    }
  }

  private void answered(CoreAction.AnswerOperator answer) {
    if (answer.status() != OK) {
      return;
    }
    if (answer.call() == READ_CALL) {
      editionRead = Long.parseLong(answer.edition());
      return;
    }
    if (acknowledgedEdition != 0 && acknowledgedEdition != answer.call()) {
      violations.add("both orders are acknowledged");
    }
    acknowledgedEdition = answer.call();
  }

  private void announced(CoreAction.CommittedConfiguration committed) {
    Long before = announced.putIfAbsent(committed.sequence(), committed.edition());
    if (before != null && before != committed.edition()) {
      violations.add("sequence " + committed.sequence() + " is " + before + " and " + committed);
    }
    if (acknowledgedEdition != 0 && committed.edition() != acknowledgedEdition) {
      violations.add(committed.edition() + " is committed beside " + acknowledgedEdition);
    }
  }

  void checkOwners(ReplicaNetwork network) {
    long owners =
        network.replicas().stream()
            .filter(replica -> replica.shards().owns(CoreShards.CONFIGURATION_SHARD, network.now()))
            .count();
    if (owners > 1) {
      violations.add("two replicas own the shard");
    }
  }

  void broken(String what) {
    violations.add(what);
  }

  List<String> violations() {
    return violations;
  }

  /** What the state consists of, for its fingerprint. */
  List<Object> content() {
    return List.of(announced, acknowledgedEdition);
  }
}
