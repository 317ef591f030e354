package nettletrail.emulator.explore;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import nettletrail.control.ShardMap;
import nettletrail.control.shard.CoreAction;
import nettletrail.emulator.actors.ChangeDocument;
import nettletrail.emulator.checker.ChangeRequest;

/**
 * The invariants of a register whose operators base all changes on one edition: at most one owner,
 * one acknowledged change, and no other change committed.
 */
final class RegisterChecks implements Consumer<CoreAction> {
  private static final long FIRST_EDITION = 10;
  private static final long READ_CALL = 1;
  private static final int OK = 200;

  private final Map<Long, Long> committedEditions = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long acknowledgedEdition;
  private long editionRead;

  /** Submits an operator's change to a replica. */
  void submit(ReplicaNetwork network, SimulatedReplica replica, int number) {
    long edition = FIRST_EDITION + number;
    ChangeRequest change = new ChangeRequest((int) edition, 0, edition);
    byte[] body = new ChangeDocument(change, null).json().getBytes(StandardCharsets.UTF_8);
    network.perform(replica, replica.shards().submit(edition, "PUT", "0", body, network.now()));
  }

  /** Submits an operator's read to a replica; see {@link #editionRead}. */
  void read(ReplicaNetwork network, SimulatedReplica replica) {
    editionRead = 0;
    byte[] nothing = new byte[0];
    network.perform(replica, replica.shards().submit(READ_CALL, "GET", "", nothing, network.now()));
  }

  /** The edition that the last read returned; 0 if it has not succeeded. */
  long editionRead() {
    return editionRead;
  }

  /** The acknowledged edition; 0 if there is none. */
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
      violations.add("both changes are acknowledged");
    }
    acknowledgedEdition = answer.call();
  }

  private void announced(CoreAction.CommittedConfiguration committed) {
    Long before = committedEditions.putIfAbsent(committed.sequence(), committed.edition());
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
            .filter(replica -> replica.shards().owns(ShardMap.CONFIGURATION_SHARD, network.now()))
            .count();
    if (owners > 1) {
      violations.add("two replicas own the shard");
    }
  }

  void addViolation(String what) {
    violations.add(what);
  }

  List<String> violations() {
    return violations;
  }

  /** What the state consists of, for its fingerprint. */
  List<Object> content() {
    return List.of(committedEditions, acknowledgedEdition);
  }
}
