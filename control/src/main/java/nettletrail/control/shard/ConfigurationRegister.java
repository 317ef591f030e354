package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalLong;
import nettletrail.protocol.OrderForward;
import nettletrail.protocol.OrderForwardReply;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * The configuration as a replicated register: evaluates operators' requests at the owner of the
 * configuration shard, one at a time.
 *
 * <p>A change that was applied before is acknowledged again; one that builds on another edition
 * than the current one gets 412; an invalid one 400; any other is written and acknowledged once it
 * is committed. Reads and rejections are evaluated only while the lease holds and no write is in
 * flight, so they rely on the newest committed value, and they are sent before the lease ends. A
 * write of unknown outcome gets 503.
 */
final class ConfigurationRegister {

  /** A request, and the address that its answer goes to. */
  private record QueuedRequest(String address, OrderForward request, long receivedAt) {}

  /** The change that is being written. */
  private static final class WriteInFlight {
    final QueuedRequest queued;
    final ProposalNumber proposal;
    final long sequence;
    final long ifMatch;
    final ByteBuffer digest;
    boolean answered;

    WriteInFlight(QueuedRequest queued, ShardVersion version, long ifMatch, ByteBuffer digest) {
      this.queued = queued;
      this.proposal = version.getProposal();
      this.sequence = version.getSequence();
      this.ifMatch = ifMatch;
      this.digest = digest;
    }
  }

  private final ShardReplica replica;
  private final ConfigurationRules rules;
  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private final Deque<QueuedRequest> queue = new ArrayDeque<>();
  private WriteInFlight inFlight;
  private ShardVersion decodedVersion;
  private ConfigurationState decodedState = ConfigurationState.EMPTY;

  ConfigurationRegister(
      ShardReplica replica,
      ConfigurationRules rules,
      ShardSettings settings,
      ActionQueue actionQueue) {
    this.replica = replica;
    this.rules = rules;
    this.settings = settings;
    this.actionQueue = actionQueue;
  }

  /** The newest committed state that this process knows; decoded once for each version. */
  ConfigurationState state() {
    ShardVersion committed = replica.committed();
    if (committed != decodedVersion) {
      decodedState = ConfigurationState.decode(committed.getValue());
      decodedVersion = committed;
    }
    return decodedState;
  }

  /**
   * Takes a request that a core process forwarded. A read is queued behind the write in flight like
   * any other request: another process may have learnt from a quorum read that the write is
   * committed, and sent it to the doors, before the owner did.
   */
  void onRequest(String address, OrderForward request, long now) {
    if (!replica.owns(now)) {
      actionQueue.send(address, OperatorResponses.notOwner(request.getCall()));
    } else if (queue.size() >= settings.requestQueueCapacity()) {
      actionQueue.send(
          address, OperatorResponses.unavailable(request.getCall(), "too many orders wait"));
    } else {
      queue.add(new QueuedRequest(address, request, now));
      advance(now);
    }
  }

  /** Completes the write in flight and evaluates queued requests; called after each event. */
  void advance(long now) {
    completeWrite(now);
    if (replica.token() == null) {
      rejectQueue();
    }
    expireQueue(now);
    while (inFlight == null && !queue.isEmpty() && replica.writable(now)) {
      evaluate(queue.poll(), now);
    }
  }

  private OrderForwardReply read(OrderForward request) {
    ConfigurationState state = state();
    if (state.edition() == 0) {
      return OperatorResponses.rejected(
          request.getCall(), OperatorResponses.NOT_FOUND, 0, "there is no configuration yet");
    }
    return OperatorResponses.document(
        request.getCall(), state.edition(), ByteBuffer.wrap(state.documentBytes()));
  }

  /**
   * Answers the write in flight if its outcome is known or it has timed out. A committed version
   * with the sequence of the write need not be this write: another owner may have used the sequence
   * number. The change is acknowledged only if the committed value names it.
   */
  private void completeWrite(long now) {
    if (inFlight == null) {
      return;
    }
    if (replica.committed().getSequence() >= inFlight.sequence) {
      answerWrite(committedOutcome());
      inFlight = null;
    } else if (!inFlight.proposal.equals(replica.token())) {
      answerWrite(unknownOutcome(inFlight.queued));
      inFlight = null;
    } else if (now - inFlight.queued.receivedAt() >= settings.requestTimeoutNanos()) {
      answerWrite(unknownOutcome(inFlight.queued));
    }
  }

  private OrderForwardReply committedOutcome() {
    AppliedChanges appliedChanges = state().appliedChanges();
    if (appliedChanges.outcomeOf(inFlight.ifMatch, inFlight.digest)
        != AppliedChanges.Outcome.APPLIED) {
      return unknownOutcome(inFlight.queued);
    }
    long edition = appliedChanges.editionAfter(inFlight.ifMatch);
    return OperatorResponses.applied(inFlight.queued.request().getCall(), edition);
  }

  private void answerWrite(OrderForwardReply reply) {
    if (!inFlight.answered) {
      inFlight.answered = true;
      actionQueue.send(inFlight.queued.address(), reply);
    }
  }

  private static OrderForwardReply unknownOutcome(QueuedRequest queued) {
    return OperatorResponses.unavailable(queued.request().getCall(), "the outcome is not known");
  }

  private void rejectQueue() {
    for (QueuedRequest queued : queue) {
      actionQueue.send(queued.address(), OperatorResponses.notOwner(queued.request().getCall()));
    }
    queue.clear();
  }

  private void expireQueue(long now) {
    Iterator<QueuedRequest> requests = queue.iterator();
    while (requests.hasNext()) {
      QueuedRequest queued = requests.next();
      if (now - queued.receivedAt() >= settings.requestTimeoutNanos()) {
        requests.remove();
        actionQueue.send(
            queued.address(),
            OperatorResponses.unavailable(queued.request().getCall(), "no majority answers"));
      }
    }
  }

  private void evaluate(QueuedRequest queued, long now) {
    OrderForward request = queued.request();
    if (request.getMethod().equals("GET")) {
      actionQueue.sendUntil(queued.address(), read(request), replica.leaseUntil());
      return;
    }
    ConfigurationState state = state();
    OptionalLong ifMatch = IfMatchHeader.edition(request.getIfMatch());
    if (ifMatch.isEmpty()) {
      reject(queued, OperatorResponses.BAD_REQUEST, state, "If-Match must name an edition");
      return;
    }
    evaluateChange(queued, state, ifMatch.getAsLong(), now);
  }

  private void evaluateChange(
      QueuedRequest queued, ConfigurationState state, long ifMatch, long now) {
    OrderForward request = queued.request();
    ByteBuffer digest = AppliedChanges.digest(request, ifMatch);
    switch (state.appliedChanges().outcomeOf(ifMatch, digest)) {
      case APPLIED -> {
        long edition = state.appliedChanges().editionAfter(ifMatch);
        actionQueue.send(queued.address(), OperatorResponses.applied(request.getCall(), edition));
      }
      case UNKNOWN ->
          actionQueue.send(
              queued.address(),
              OperatorResponses.unavailable(
                  request.getCall(), "it is not known whether it was taken"));
      case NOT_APPLIED -> evaluateNewChange(queued, state, ifMatch, digest, now);
    }
  }

  /** Evaluates a change that was not applied before. */
  private void evaluateNewChange(
      QueuedRequest queued, ConfigurationState state, long ifMatch, ByteBuffer digest, long now) {
    if (ifMatch != state.edition()) {
      reject(queued, OperatorResponses.PRECONDITION_FAILED, state, "another edition is current");
      return;
    }
    try {
      write(queued, state, digest, now);
    } catch (InvalidConfigurationException invalid) {
      reject(queued, OperatorResponses.BAD_REQUEST, state, invalid.getMessage());
    }
  }

  private void write(QueuedRequest queued, ConfigurationState state, ByteBuffer digest, long now)
      throws InvalidConfigurationException {
    ConfigurationRules.CheckedDocument document = check(queued.request(), state);
    ShardVersion version = replica.write(state.after(document, digest).encode(), now);
    inFlight = new WriteInFlight(queued, version, state.edition(), digest);
  }

  private ConfigurationRules.CheckedDocument check(OrderForward request, ConfigurationState state)
      throws InvalidConfigurationException {
    ByteBuffer buffer = request.getBody().duplicate();
    byte[] body = new byte[buffer.remaining()];
    buffer.get(body);
    if (request.getMethod().equals("PUT")) {
      return rules.replacement(body, state.edition());
    }
    if (state.edition() == 0) {
      throw new InvalidConfigurationException("there is nothing to patch yet", null);
    }
    return rules.patched(state.documentBytes(), body, state.edition());
  }

  private void reject(QueuedRequest queued, int status, ConfigurationState state, String reason) {
    actionQueue.sendUntil(
        queued.address(),
        OperatorResponses.rejected(queued.request().getCall(), status, state.edition(), reason),
        replica.leaseUntil());
  }
}
