package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import nettletrail.protocol.OrderForward;
import nettletrail.protocol.OrderForwardReply;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;

/**
 * Judges the operator's orders at the owner of the configuration shard, one at a time.
 *
 * <p>An order that was taken before is acknowledged again; one that builds on another edition than
 * the current one gets 412; an invalid one 400; any other is written and acknowledged once
 * committed. Reads and refusals are given only while the lease holds and no write is in flight, so
 * they rest on the newest committed value, and leave the process before the lease ends. A write
 * whose outcome is unknown gets 503.
 */
final class ConfigurationRegister {

  private static final long NO_EDITION = -1;

  /** An order and where its answer goes. */
  private record QueuedRequest(String address, OrderForward request, long receivedAt) {}

  /** The order that is being written. */
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

  /** The newest committed state that this process knows. */
  ConfigurationState state() {
    ShardVersion committed = replica.committed();
    if (committed != decodedVersion) {
      decodedState = ConfigurationState.decode(committed.getValue());
      decodedVersion = committed;
    }
    return decodedState;
  }

  /**
   * Takes an order that some core process passed on. A read waits behind the write in flight like
   * any other order: another process may have learnt from a majority that the write is committed,
   * and pushed it to the doors, before its owner did.
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

  /** Settles the write in flight and judges what waits; after each event. */
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
   * That a version with the number of the write is committed does not prove that it is this write:
   * another owner may have used the number. The order is confirmed only if the committed value
   * names it.
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
    } else if (now - inFlight.queued.receivedAt() >= settings.requestTimeout()) {
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
      if (now - queued.receivedAt() >= settings.requestTimeout()) {
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
    long ifMatch = parseIfMatch(request.getIfMatch());
    if (ifMatch == NO_EDITION) {
      reject(queued, OperatorResponses.BAD_REQUEST, state, "If-Match must name an edition");
      return;
    }
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

  /** Judges an order that was not taken before. */
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

  /** Reads {@code 5}, {@code "5"} or {@code W/"5"}. */
  private static long parseIfMatch(String header) {
    String text = header == null ? "" : header.trim();
    if (text.startsWith("W/")) {
      text = text.substring(2);
    }
    boolean quoted = text.length() >= 2 && text.startsWith("\"") && text.endsWith("\"");
    if (quoted) {
      text = text.substring(1, text.length() - 1);
    }
    try {
      long edition = Long.parseLong(text);
      return edition < 0 ? NO_EDITION : edition;
    } catch (NumberFormatException notANumber) {
      return NO_EDITION;
    }
  }
}
