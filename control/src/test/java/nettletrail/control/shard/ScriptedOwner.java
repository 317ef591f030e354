package nettletrail.control.shard;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.control.ShardMap;
import nettletrail.protocol.Accept;
import nettletrail.protocol.AcceptReply;
import nettletrail.protocol.Member;
import nettletrail.protocol.OwnerHeartbeat;
import nettletrail.protocol.OwnerHeartbeatReply;
import nettletrail.protocol.PreVote;
import nettletrail.protocol.PreVoteReply;
import nettletrail.protocol.Prepare;
import nettletrail.protocol.PrepareReply;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardHeartbeat;
import nettletrail.protocol.ShardHeartbeatReply;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.NodeIdentity;
import org.apache.avro.specific.SpecificRecord;

/**
 * The core process {@value #SELF} with two fake peers, which promise and accept everything while
 * they are connected and don't reply otherwise. Storage completes at once, and time is advanced by
 * the test.
 */
final class ScriptedOwner {
  static final String SELF = "10.0.0.1:7680";
  static final String PEER = "10.0.0.2:7680";
  static final String OTHER_PEER = "10.0.0.3:7680";

  private static final List<String> ADDRESSES = List.of(SELF, PEER, OTHER_PEER);
  private static final long TICK = SimulatedCluster.millis(50);
  private static final int SHARDS = 1;
  private static final long SEED = 1;

  final CoreShards shards;
  final List<CoreAction.AnswerOperator> answers = new ArrayList<>();
  final List<CoreAction.Send> sent = new ArrayList<>();
  final Map<String, ShardVersion> stored = new HashMap<>();
  boolean connected = true;
  long now = SimulatedCluster.millis(1_000);
  private long lastCall;

  ScriptedOwner() {
    this.shards =
        new CoreShards(
            ShardSettings.defaults(),
            new CoreStart(NodeIdentity.founding(SELF), ADDRESSES, true, SHARDS, Map.of()),
            SEED,
            now,
            new TextRules());
  }

  /** Advances time until the process owns the configuration. */
  static ScriptedOwner elected() {
    ScriptedOwner owner = new ScriptedOwner();
    while (!owner.shards.owns(ShardMap.CONFIGURATION_SHARD, owner.now)) {
      owner.pass(TICK);
    }
    return owner;
  }

  /** Advances time, with a tick at the end of each period. */
  void pass(long span) {
    long end = now + span;
    while (now < end) {
      now = Math.min(end, now + TICK);
      perform(shards.tick(now));
    }
  }

  /** An operator's PUT at this process; returns the number of the call. */
  long put(long ifMatch, String document) {
    return submit("PUT", Long.toString(ifMatch), document);
  }

  /** An operator's GET at this process; returns the number of the call. */
  long get() {
    return submit("GET", "", "");
  }

  private long submit(String method, String ifMatch, String body) {
    lastCall++;
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    perform(shards.submit(lastCall, method, ifMatch, bytes, now));
    return lastCall;
  }

  /** Delivers a message to the process. */
  void receive(String from, SpecificRecord message) {
    perform(shards.receive(from, message, now));
  }

  /** Has the process grant the lease to a peer. */
  void followPeer() {
    ProposalNumber proposal = new ProposalNumber(1L, NodeIdentity.founding(PEER).getId());
    String recipient = NodeIdentity.founding(SELF).getId();
    ShardHeartbeat heartbeat =
        new ShardHeartbeat(ShardMap.CONFIGURATION_SHARD, recipient, proposal, 0L);
    receive(PEER, new OwnerHeartbeat(proposal.getNode(), now, List.of(heartbeat)));
  }

  /** The answer to a call, or null while there is none. */
  CoreAction.AnswerOperator answer(long call) {
    return answers.stream().filter(answer -> answer.call() == call).findFirst().orElse(null);
  }

  /** The status of the answer to a call; 0 while there is none. */
  int status(long call) {
    CoreAction.AnswerOperator answer = answer(call);
    return answer == null ? 0 : answer.status();
  }

  private void perform(List<CoreAction> actions) {
    for (CoreAction action : actions) {
      if (action instanceof CoreAction.Send send) {
        sent.add(send);
        answerAsPeer(send);
      } else if (action instanceof CoreAction.AnswerOperator answer) {
        answers.add(answer);
      } else if (action instanceof CoreAction.StorePromise promise) {
        perform(shards.stored(promise.ticket(), StoreOutcome.STORED, now));
      } else if (action instanceof CoreAction.StoreVersion version) {
        perform(shards.stored(version.ticket(), StoreOutcome.STORED, now));
      }
    }
  }

  private void answerAsPeer(CoreAction.Send send) {
    if (!connected) {
      return;
    }
    SpecificRecord reply = replyOf(send.address(), send.message());
    if (reply != null) {
      receive(send.address(), reply);
    }
  }

  private SpecificRecord replyOf(String address, SpecificRecord message) {
    Member peer = NodeIdentity.founding(address);
    if (message instanceof PreVote request) {
      return new PreVoteReply(
          request.getShard(), peer.getId(), request.getProposal(), true, request.getProposal());
    } else if (message instanceof Prepare request) {
      return new PrepareReply(
          request.getShard(),
          peer.getId(),
          request.getProposal(),
          true,
          request.getProposal(),
          stored.get(address));
    } else if (message instanceof Accept request) {
      ShardVersion version = request.getVersion();
      stored.put(address, version);
      return new AcceptReply(
          request.getShard(),
          peer.getId(),
          version.getProposal(),
          version.getSequence(),
          true,
          version.getProposal(),
          "");
    } else if (message instanceof OwnerHeartbeat heartbeat) {
      List<ShardHeartbeatReply> replies =
          heartbeat.getShards().stream().map(shard -> granted(address, shard)).toList();
      return new OwnerHeartbeatReply(peer.getId(), heartbeat.getSentAt(), replies);
    }
    return null;
  }

  private ShardHeartbeatReply granted(String address, ShardHeartbeat heartbeat) {
    ShardVersion accepted = stored.get(address);
    return new ShardHeartbeatReply(
        heartbeat.getShard(),
        true,
        heartbeat.getProposal(),
        accepted == null ? null : accepted.getProposal(),
        accepted == null ? 0L : accepted.getSequence());
  }
}
