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
  private record WaitingOrder(String address, OrderForward order, long receivedAt) {}

  /** The order that is being written. */
  private static final class WriteInFlight {
    final WaitingOrder waiting;
    final ProposalNumber proposal;
    final long sequence;
    final long ifMatch;
    final ByteBuffer digest;
    boolean answered;

    WriteInFlight(WaitingOrder waiting, ShardVersion version, long ifMatch, ByteBuffer digest) {
      this.waiting = waiting;
      this.proposal = version.getProposal();
      this.sequence = version.getSequence();
      this.ifMatch = ifMatch;
      this.digest = digest;
    }
  }

  private final ShardReplica replica;
  private final ConfigurationRules rules;
  private final ShardSettings settings;
  private final Outbox outbox;
  private final Deque<WaitingOrder> queue = new ArrayDeque<>();
  private WriteInFlight inFlight;
  private ShardVersion decodedVersion;
  private ConfigurationState decoded = ConfigurationState.EMPTY;

  ConfigurationRegister(
      ShardReplica replica, ConfigurationRules rules, ShardSettings settings, Outbox outbox) {
    this.replica = replica;
    this.rules = rules;
    this.settings = settings;
    this.outbox = outbox;
  }

  /** The newest committed state that this process knows. */
  ConfigurationState state() {
    ShardVersion committed = replica.committed();
    if (committed != decodedVersion) {
      decoded = ConfigurationState.decode(committed.getValue());
      decodedVersion = committed;
    }
    return decoded;
  }

  /**
   * Takes an order that some core process passed on. A read waits behind the write in flight like
   * any other order: another process may have learnt from a majority that the write is committed,
   * and pushed it to the doors, before its owner did.
   */
  void onOrder(String address, OrderForward order, long now) {
    if (!replica.owns(now)) {
      outbox.send(address, OrderReplies.notOwner(order.getCall()));
    } else if (queue.size() >= settings.requestQueueCapacity()) {
      outbox.send(address, OrderReplies.unavailable(order.getCall(), "too many orders wait"));
    } else {
      queue.add(new WaitingOrder(address, order, now));
      advance(now);
    }
  }

  /** Settles the write in flight and judges what waits; after each event. */
  void advance(long now) {
    settleWrite(now);
    if (replica.token() == null) {
      abandonQueue();
    }
    expireQueue(now);
    while (inFlight == null && !queue.isEmpty() && replica.writable(now)) {
      judge(queue.poll(), now);
    }
  }

  private OrderForwardReply read(OrderForward order) {
    ConfigurationState state = state();
    if (state.edition() == 0) {
      return OrderReplies.refused(
          order.getCall(), OrderReplies.NOT_FOUND, 0, "there is no configuration yet");
    }
    return OrderReplies.document(
        order.getCall(), state.edition(), ByteBuffer.wrap(state.documentBytes()));
  }

  /**
   * That a version with the number of the write is committed does not prove that it is this write:
   * another owner may have used the number. The order is confirmed only if the committed value
   * names it.
   */
  private void settleWrite(long now) {
    if (inFlight == null) {
      return;
    }
    if (replica.committed().getSequence() >= inFlight.sequence) {
      answerWrite(committedOutcome());
      inFlight = null;
    } else if (!inFlight.proposal.equals(replica.token())) {
      answerWrite(unknownOutcome(inFlight.waiting));
      inFlight = null;
    } else if (now - inFlight.waiting.receivedAt() >= settings.requestTimeout()) {
      answerWrite(unknownOutcome(inFlight.waiting));
    }
  }

  private OrderForwardReply committedOutcome() {
    OrderHistory history = state().history();
    if (history.outcomeOf(inFlight.ifMatch, inFlight.digest) != OrderHistory.Outcome.TAKEN) {
      return unknownOutcome(inFlight.waiting);
    }
    long edition = history.editionAfter(inFlight.ifMatch);
    return OrderReplies.taken(inFlight.waiting.order().getCall(), edition);
  }

  private void answerWrite(OrderForwardReply reply) {
    if (!inFlight.answered) {
      inFlight.answered = true;
      outbox.send(inFlight.waiting.address(), reply);
    }
  }

  private static OrderForwardReply unknownOutcome(WaitingOrder waiting) {
    return OrderReplies.unavailable(waiting.order().getCall(), "the outcome is not known");
  }

  private void abandonQueue() {
    for (WaitingOrder waiting : queue) {
      outbox.send(waiting.address(), OrderReplies.notOwner(waiting.order().getCall()));
    }
    queue.clear();
  }

  private void expireQueue(long now) {
    Iterator<WaitingOrder> orders = queue.iterator();
    while (orders.hasNext()) {
      WaitingOrder waiting = orders.next();
      if (now - waiting.receivedAt() >= settings.requestTimeout()) {
        orders.remove();
        outbox.send(
            waiting.address(),
            OrderReplies.unavailable(waiting.order().getCall(), "no majority answers"));
      }
    }
  }

  private void judge(WaitingOrder waiting, long now) {
    OrderForward order = waiting.order();
    if (order.getMethod().equals("GET")) {
      outbox.sendUntil(waiting.address(), read(order), replica.leaseUntil());
      return;
    }
    ConfigurationState state = state();
    long ifMatch = parseIfMatch(order.getIfMatch());
    if (ifMatch == NO_EDITION) {
      refuse(waiting, OrderReplies.BAD_REQUEST, state, "If-Match must name an edition");
      return;
    }
    ByteBuffer digest = OrderHistory.digest(order, ifMatch);
    switch (state.history().outcomeOf(ifMatch, digest)) {
      case TAKEN -> {
        long edition = state.history().editionAfter(ifMatch);
        outbox.send(waiting.address(), OrderReplies.taken(order.getCall(), edition));
      }
      case FORGOTTEN ->
          outbox.send(
              waiting.address(),
              OrderReplies.unavailable(order.getCall(), "it is not known whether it was taken"));
      case NOT_TAKEN -> judgeNew(waiting, state, ifMatch, digest, now);
    }
  }

  /** Judges an order that was not taken before. */
  private void judgeNew(
      WaitingOrder waiting, ConfigurationState state, long ifMatch, ByteBuffer digest, long now) {
    if (ifMatch != state.edition()) {
      refuse(waiting, OrderReplies.PRECONDITION_FAILED, state, "another edition is current");
      return;
    }
    try {
      write(waiting, state, digest, now);
    } catch (InvalidConfigurationException invalid) {
      refuse(waiting, OrderReplies.BAD_REQUEST, state, invalid.getMessage());
    }
  }

  private void write(WaitingOrder waiting, ConfigurationState state, ByteBuffer digest, long now)
      throws InvalidConfigurationException {
    ConfigurationRules.CheckedDocument document = check(waiting.order(), state);
    ShardVersion version = replica.write(state.after(document, digest).encode(), now);
    inFlight = new WriteInFlight(waiting, version, state.edition(), digest);
  }

  private ConfigurationRules.CheckedDocument check(OrderForward order, ConfigurationState state)
      throws InvalidConfigurationException {
    ByteBuffer buffer = order.getBody().duplicate();
    byte[] body = new byte[buffer.remaining()];
    buffer.get(body);
    if (order.getMethod().equals("PUT")) {
      return rules.replacement(body, state.edition());
    }
    if (state.edition() == 0) {
      throw new InvalidConfigurationException("there is nothing to patch yet", null);
    }
    return rules.patched(state.documentBytes(), body, state.edition());
  }

  private void refuse(WaitingOrder waiting, int status, ConfigurationState state, String reason) {
    outbox.sendUntil(
        waiting.address(),
        OrderReplies.refused(waiting.order().getCall(), status, state.edition(), reason),
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
