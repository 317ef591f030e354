package nettletrail.control.shard;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.protocol.OrderForward;
import nettletrail.protocol.OrderForwardReply;

/**
 * Forwards operators' calls that arrived at this process to the owner of the configuration shard,
 * which may be this process, and relays the answers. While no owner is known a call is kept for a
 * limited time; a call without an answer in time gets 503.
 *
 * <p>An answer that relies on the owner's lease is linearizable: it holds at some instant between
 * the arrival of the call and its own arrival here. It is valid for no longer than the time-out of
 * a call, so that an answer that was delayed here or on its way isn't given late; at the owner
 * itself it is valid for no longer than the lease.
 */
final class OperatorRequestRouter {

  /** A call without an answer so far. */
  private static final class PendingCall {
    final long call;
    final OrderForward message;
    final long receivedAt;

    /** The process whose answer counts; empty if there is none, or it was not the owner. */
    String forwardedTo = "";

    PendingCall(long call, OrderForward message, long receivedAt) {
      this.call = call;
      this.message = message;
      this.receivedAt = receivedAt;
    }

    boolean isRead() {
      return message.getMethod().equals("GET");
    }
  }

  private final ShardSettings settings;
  private final ActionQueue actionQueue;
  private final Map<Long, PendingCall> pending = new HashMap<>();
  private long lastForwardId;

  /**
   * Creates a router.
   *
   * @param firstForwardId the forwarded messages are numbered from here; differs between
   *     incarnations of a process, so that late answers to an earlier one match no call
   */
  OperatorRequestRouter(ShardSettings settings, ActionQueue actionQueue, long firstForwardId) {
    this.settings = settings;
    this.actionQueue = actionQueue;
    this.lastForwardId = firstForwardId;
  }

  /** Takes an operator's call; ownerAddress is empty if no owner is known. */
  void submit(
      long call, String method, String ifMatch, byte[] body, String ownerAddress, long now) {
    if (!method.equals("GET") && !method.equals("PUT") && !method.equals("PATCH")) {
      ByteBuffer error = OperatorResponses.error("only GET, PUT and PATCH");
      respond(call, OperatorResponses.METHOD_NOT_ALLOWED, "", error, CoreAction.ALWAYS);
      return;
    }
    if (pending.size() >= settings.requestQueueCapacity()) {
      unavailable(call, "too many calls wait");
      return;
    }
    lastForwardId++;
    String condition = ifMatch == null ? "" : ifMatch;
    OrderForward message =
        new OrderForward(lastForwardId, method, condition, ByteBuffer.wrap(body));
    PendingCall added = new PendingCall(call, message, now);
    pending.put(lastForwardId, added);
    forward(added, ownerAddress);
  }

  private void forward(PendingCall call, String ownerAddress) {
    if (!ownerAddress.isEmpty()) {
      call.forwardedTo = ownerAddress;
      actionQueue.send(ownerAddress, call.message);
    }
  }

  /**
   * Takes an owner's answer; ignored unless it comes from the process that the call was last
   * forwarded to.
   *
   * @param peer the sender's address
   * @param sentUntil the end of the owner's lease if that is this process, or {@link
   *     CoreAction#ALWAYS}
   */
  void onReply(String peer, OrderForwardReply reply, long sentUntil) {
    PendingCall call = pending.get(reply.getCall());
    if (call == null || !call.forwardedTo.equals(peer)) {
      return;
    }
    if (reply.getStatus() == OperatorResponses.NOT_OWNER) {
      call.forwardedTo = "";
      return;
    }
    pending.remove(reply.getCall());
    boolean applied = reply.getStatus() == OperatorResponses.OK && !call.isRead();
    long validUntil =
        applied
            ? CoreAction.ALWAYS
            : Math.min(sentUntil, call.receivedAt + settings.requestTimeoutNanos());
    respond(call.call, reply.getStatus(), reply.getEdition(), reply.getBody(), validUntil);
  }

  /** Forwards calls that had no owner, and answers calls that have timed out. */
  void tick(String ownerAddress, long now) {
    List<PendingCall> calls = new ArrayList<>(pending.values());
    for (PendingCall call : calls) {
      long age = now - call.receivedAt;
      if (age >= settings.requestTimeoutNanos()) {
        timeOut(call, "the owner does not answer");
      } else if (call.forwardedTo.isEmpty() && age >= settings.ownerDiscoveryTimeoutNanos()) {
        timeOut(call, "no owner is known");
      } else if (call.forwardedTo.isEmpty()) {
        forward(call, ownerAddress);
      }
    }
  }

  private void timeOut(PendingCall call, String reason) {
    pending.remove(call.message.getCall());
    unavailable(call.call, reason);
  }

  private void unavailable(long call, String reason) {
    ByteBuffer error = OperatorResponses.error(reason);
    respond(call, OperatorResponses.UNAVAILABLE, "", error, CoreAction.ALWAYS);
  }

  private void respond(long call, int status, String edition, ByteBuffer body, long validUntil) {
    ByteBuffer copy = body.duplicate();
    byte[] bytes = new byte[copy.remaining()];
    copy.get(bytes);
    actionQueue.add(new CoreAction.AnswerOperator(call, status, edition, bytes, validUntil));
  }
}
