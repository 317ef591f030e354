package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import nettletrail.control.ShardMap;

/** Sends operators' calls to the machines of a {@link SimulatedCluster}. */
final class SimulatedOperatorClient {

  /** Longer than the core takes to answer any call. */
  private static final long CALL_TIMEOUT = millis(1_500);

  private final SimulatedCluster cluster;

  SimulatedOperatorClient(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** A cluster of that many machines that are all members. */
  static SimulatedCluster startedCluster(long seed, int size) {
    SimulatedCluster cluster = SimulatedCluster.started(seed, size);
    assertTrue(cluster.runUntil(cluster::groupIsComplete, millis(5_000)), "no start");
    cluster.runFor(millis(300));
    return cluster;
  }

  /** Sends a call and does not wait; the reference takes the answer. */
  AtomicReference<CoreAction.AnswerOperator> send(
      SimulatedCore core, String method, String ifMatch, String body) {
    AtomicReference<CoreAction.AnswerOperator> answer = new AtomicReference<>();
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    cluster.call(core, method, ifMatch, bytes, answer::set);
    return answer;
  }

  /** Sends a call, waits for its answer and returns the status. */
  int call(SimulatedCore core, String method, String ifMatch, String body) {
    return await(send(core, method, ifMatch, body)).status();
  }

  int put(SimulatedCore core, long ifMatch, String body) {
    return call(core, "PUT", Long.toString(ifMatch), body);
  }

  int patch(SimulatedCore core, long ifMatch, String body) {
    return call(core, "PATCH", Long.toString(ifMatch), body);
  }

  /** The document that a machine returns, or the status of its error. */
  String read(SimulatedCore core) {
    CoreAction.AnswerOperator answer = await(send(core, "GET", "", ""));
    boolean found = answer.status() == OperatorResponses.OK;
    return found ? ClusterInvariants.text(answer.body()) : String.valueOf(answer.status());
  }

  CoreAction.AnswerOperator await(AtomicReference<CoreAction.AnswerOperator> answer) {
    assertTrue(cluster.runUntil(() -> answer.get() != null, CALL_TIMEOUT), "no answer");
    return answer.get();
  }

  /** The machines that do not own the configuration. */
  List<SimulatedCore> followers() {
    SimulatedCore owner = cluster.owner(ShardMap.CONFIGURATION_SHARD);
    return cluster.cores().stream().filter(core -> core != owner).toList();
  }

  /** Runs until some machine owns the configuration, and returns it. */
  SimulatedCore awaitOwner() {
    assertTrue(cluster.runUntil(() -> owner() != null, millis(4_000)), cluster::describe);
    return owner();
  }

  private SimulatedCore owner() {
    return cluster.owner(ShardMap.CONFIGURATION_SHARD);
  }
}
