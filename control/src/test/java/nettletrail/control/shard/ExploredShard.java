package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import nettletrail.protocol.Accept;
import nettletrail.protocol.AcceptReply;
import nettletrail.protocol.Member;
import nettletrail.protocol.OwnerHeartbeat;
import nettletrail.protocol.OwnerHeartbeatReply;
import nettletrail.protocol.PreVote;
import nettletrail.protocol.PreVoteReply;
import nettletrail.protocol.Prepare;
import nettletrail.protocol.PrepareReply;
import nettletrail.protocol.ShardHeartbeat;
import nettletrail.protocol.ShardHeartbeatReply;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.StoredShard;
import org.apache.avro.specific.SpecificRecord;

/**
 * Three replicas of one shard, with all nondeterminism decided by a {@link ChoiceSequence}: which
 * message or storage operation comes next, what is lost, which replica crashes, and when a lease
 * expires. All three start elections at once, and each owner appends its name to the value. The
 * invariants are checked after each step: at most one owner, and committed values that only grow.
 */
final class ExploredShard {

  private static final int REPLICAS = 3;
  private static final int SHARD = 0;
  private static final int REORDERED = 3;
  private static final ShardSettings SETTINGS = ShardSettings.defaults();

  /** A future event: a message that arrives, or a storage operation that completes. */
  private record Pending(
      int from, int to, int incarnation, SpecificRecord message, CoreAction storage) {}

  /** In place of the index of a partitioned replica. */
  static final int NONE = -1;

  private final ChoiceSequence choices;
  private final List<Integer> partitionedByPeriod;
  private int partitioned = NONE;
  private final List<Member> members = new ArrayList<>();
  private final ShardReplica[] replicas = new ShardReplica[REPLICAS];
  private final ActionQueue[] actionQueues = new ActionQueue[REPLICAS];
  private final SimulatedStorage[] disks = new SimulatedStorage[REPLICAS];
  private final int[] incarnations = new int[REPLICAS];
  private final boolean[] wrote = new boolean[REPLICAS];
  private final List<Pending> pending = new ArrayList<>();
  private final Map<Long, String> committed = new TreeMap<>();
  private long now = SETTINGS.leaseNanos();

  /** In each period, an election and the writes after it, one replica may be partitioned. */
  ExploredShard(ChoiceSequence choices, List<Integer> partitionedByPeriod) {
    this.choices = choices;
    this.partitionedByPeriod = partitionedByPeriod;
    for (int index = 0; index < REPLICAS; index++) {
      members.add(new Member("n" + index + "#0", "n" + index));
    }
    ShardVersion initial =
        new ShardVersion(ProposalNumbers.ZERO, 0L, members, ByteBuffer.allocate(0));
    for (int index = 0; index < REPLICAS; index++) {
      disks[index] = new SimulatedStorage();
      disks[index].apply(new CoreAction.StoreVersion(0, SHARD, initial));
      start(index, now);
    }
  }

  /** Executes one run; returns the count of versions committed. */
  int run() {
    for (int replica : partitionedByPeriod) {
      partitioned = replica;
      passTime();
      while (!pending.isEmpty()) {
        step();
        check();
      }
    }
    return committed.size();
  }

  private void start(int index, long votingStartsAt) {
    actionQueues[index] = new ActionQueue(members.get(index).getAddress());
    StoredShard stored = disks[index].shards().get(SHARD);
    replicas[index] =
        new ShardReplica(
            SHARD,
            members.get(index),
            SETTINGS,
            stored,
            actionQueues[index],
            new SplittableRandom(index),
            votingStartsAt);
    incarnations[index]++;
  }

  private void passTime() {
    now += 2 * SETTINGS.leaseNanos();
    for (int index = 0; index < REPLICAS; index++) {
      wrote[index] = false;
      replicas[index].tick(now);
      heartbeat(index);
      collect(index);
    }
  }

  private void step() {
    int reordered = Math.min(REORDERED, pending.size() - 1);
    int lossChoice = 1 + reordered;
    int timeChoice = lossChoice + 1;
    int crashChoice = timeChoice + 1;
    int choice = choices.choose(crashChoice + REPLICAS);
    if (choice == lossChoice) {
      lose(pending.remove(0));
    } else if (choice == timeChoice) {
      passTime();
    } else if (choice >= crashChoice) {
      crash(choice - crashChoice);
    } else {
      perform(pending.remove(choice));
    }
  }

  /** A message is lost; a storage operation fails without effect. */
  private void lose(Pending lost) {
    if (lost.storage() != null && incarnations[lost.to()] == lost.incarnation()) {
      replicas[lost.to()].onStored(
          SimulatedStorage.ticket(lost.storage()), StoreOutcome.failed("lost"));
      afterEvent(lost.to());
    }
  }

  private void crash(int index) {
    start(index, now + SETTINGS.leaseNanos());
    wrote[index] = true;
  }

  private void perform(Pending next) {
    int index = next.to();
    if (next.storage() != null) {
      if (incarnations[index] == next.incarnation()) {
        disks[index].apply(next.storage());
        replicas[index].onStored(SimulatedStorage.ticket(next.storage()), StoreOutcome.STORED);
      }
    } else if (carries(next.from(), index)) {
      receive(members.get(next.from()), replicas[index], next.message());
    }
    afterEvent(index);
  }

  private boolean carries(int from, int to) {
    return from == to || from != partitioned && to != partitioned;
  }

  private void receive(Member from, ShardReplica replica, SpecificRecord message) {
    String address = from.getAddress();
    if (message instanceof PreVote request) {
      replica.onPreVote(address, request, now);
    } else if (message instanceof PreVoteReply reply) {
      replica.onPreVoteReply(reply, now);
    } else if (message instanceof Prepare request) {
      replica.onPrepare(address, request, now);
    } else if (message instanceof PrepareReply reply) {
      replica.onPrepareReply(reply, now);
    } else if (message instanceof Accept request) {
      replica.onAccept(address, request, now);
    } else if (message instanceof AcceptReply reply) {
      replica.onAcceptReply(reply, now);
    } else if (message instanceof OwnerHeartbeat heartbeat) {
      answerHeartbeat(from, replica, heartbeat);
    } else if (message instanceof OwnerHeartbeatReply reply) {
      replica.onHeartbeatReply(reply.getSender(), reply.getSentAt(), reply.getShards().get(0), now);
    }
  }

  private void answerHeartbeat(Member owner, ShardReplica replica, OwnerHeartbeat heartbeat) {
    int index = List.of(replicas).indexOf(replica);
    ShardHeartbeatReply reply = replica.onHeartbeat(heartbeat.getShards().get(0), now);
    if (reply != null) {
      String sender = members.get(index).getId();
      actionQueues[index].send(
          owner.getAddress(),
          new OwnerHeartbeatReply(sender, heartbeat.getSentAt(), List.of(reply)));
    }
  }

  private void afterEvent(int index) {
    write(index);
    if (replicas[index].pollHeartbeatRequest()) {
      heartbeat(index);
    }
    collect(index);
  }

  private void write(int index) {
    if (!wrote[index] && replicas[index].writable(now)) {
      wrote[index] = true;
      String value = text(replicas[index].committed().getValue()) + index + "@" + now + ";";
      replicas[index].write(value.getBytes(StandardCharsets.UTF_8), now);
    }
  }

  private void heartbeat(int index) {
    for (Member member : replicas[index].heartbeatTargets()) {
      List<ShardHeartbeat> heartbeats = List.of(replicas[index].heartbeat(member));
      String sender = members.get(index).getId();
      actionQueues[index].send(member.getAddress(), new OwnerHeartbeat(sender, now, heartbeats));
    }
  }

  private void collect(int index) {
    ActionQueue.LoopbackMessage own = actionQueues[index].pollLoopback();
    while (own != null) {
      pending.add(new Pending(index, index, incarnations[index], own.message(), null));
      own = actionQueues[index].pollLoopback();
    }
    for (CoreAction action : actionQueues[index].drain()) {
      if (action instanceof CoreAction.Send send) {
        int to = Integer.parseInt(send.address().substring(1));
        pending.add(new Pending(index, to, incarnations[to], send.message(), null));
      } else {
        pending.add(new Pending(index, index, incarnations[index], null, action));
      }
    }
  }

  private void check() {
    int owners = 0;
    for (ShardReplica replica : replicas) {
      owners += replica.owns(now) ? 1 : 0;
      if (replica.committed() != null) {
        checkCommitted(replica.committed());
      }
    }
    if (owners > 1) {
      throw new AssertionError("two owners: " + choices);
    }
  }

  private void checkCommitted(ShardVersion version) {
    String value = text(version.getValue());
    String before = committed.putIfAbsent(version.getSequence(), value);
    if (before != null) {
      if (!before.equals(value)) {
        throw new AssertionError(before + " and " + value + " committed: " + choices);
      }
      return;
    }
    String previous = "";
    for (String next : committed.values()) {
      if (!next.startsWith(previous)) {
        throw new AssertionError(previous + " lost by " + next + ": " + choices);
      }
      previous = next;
    }
  }

  private static String text(ByteBuffer value) {
    return StandardCharsets.UTF_8.decode(value.duplicate()).toString();
  }
}
