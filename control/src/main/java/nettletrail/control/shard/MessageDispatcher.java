package nettletrail.control.shard;

import java.util.List;
import nettletrail.protocol.Accept;
import nettletrail.protocol.AcceptReply;
import nettletrail.protocol.ConfirmQuery;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.JoinRequest;
import nettletrail.protocol.LeaseRelease;
import nettletrail.protocol.LeaveReply;
import nettletrail.protocol.LeaveRequest;
import nettletrail.protocol.OrderForward;
import nettletrail.protocol.OrderForwardReply;
import nettletrail.protocol.OwnerHeartbeat;
import nettletrail.protocol.OwnerHeartbeatReply;
import nettletrail.protocol.PreVote;
import nettletrail.protocol.PreVoteReply;
import nettletrail.protocol.Prepare;
import nettletrail.protocol.PrepareReply;
import nettletrail.protocol.VersionQuery;
import nettletrail.protocol.VersionReply;
import org.apache.avro.specific.SpecificRecord;

/** Hands each message to the part of the process that handles its kind. */
final class MessageDispatcher {

  private final List<ShardReplica> replicas;
  private final OwnerHeartbeats heartbeats;
  private final ConfirmationRounds confirmationRounds;
  private final ConfigurationRegister register;
  private final OperatorRequestRouter requestRouter;
  private final LeaveRequests leaveRequests;

  MessageDispatcher(
      List<ShardReplica> replicas,
      OwnerHeartbeats heartbeats,
      ConfirmationRounds confirmationRounds,
      ConfigurationRegister register,
      OperatorRequestRouter requestRouter,
      LeaveRequests leaveRequests) {
    this.replicas = replicas;
    this.heartbeats = heartbeats;
    this.confirmationRounds = confirmationRounds;
    this.register = register;
    this.requestRouter = requestRouter;
    this.leaveRequests = leaveRequests;
  }

  /**
   * Handles a message; one of a kind that has no handler here is ignored.
   *
   * @param peerAddress the sender's address, which may be this process' own
   * @param validUntil the instant until which the message holds, see {@link CoreAction.Send}
   */
  void dispatch(String peerAddress, SpecificRecord message, long validUntil, long now) {
    if (message instanceof OwnerHeartbeat heartbeat) {
      heartbeats.onHeartbeat(peerAddress, heartbeat, now);
    } else if (message instanceof OwnerHeartbeatReply reply) {
      heartbeats.onHeartbeatReply(reply, now);
    } else if (message instanceof LeaseRelease release) {
      replicas.get(release.getShard()).onRelease(release, now);
    } else if (message instanceof JoinRequest request) {
      replicas.get(request.getShard()).onJoinRequest(request.getMember(), now);
    } else if (message instanceof LeaveRequest request) {
      leaveRequests.onRequest(peerAddress, request, now);
    } else if (message instanceof LeaveReply reply) {
      leaveRequests.onReply(reply);
    } else if (message instanceof OrderForward request) {
      register.onRequest(peerAddress, request, now);
    } else if (message instanceof OrderForwardReply reply) {
      requestRouter.onReply(peerAddress, reply, validUntil);
    } else {
      dispatchPaxos(peerAddress, message, now);
      dispatchQuorumRead(peerAddress, message, now);
    }
  }

  private void dispatchPaxos(String peerAddress, SpecificRecord message, long now) {
    if (message instanceof PreVote request) {
      replicas.get(request.getShard()).onPreVote(peerAddress, request, now);
    } else if (message instanceof PreVoteReply reply) {
      replicas.get(reply.getShard()).onPreVoteReply(reply, now);
    } else if (message instanceof Prepare request) {
      replicas.get(request.getShard()).onPrepare(peerAddress, request, now);
    } else if (message instanceof PrepareReply reply) {
      replicas.get(reply.getShard()).onPrepareReply(reply, now);
    } else if (message instanceof Accept request) {
      replicas.get(request.getShard()).onAccept(peerAddress, request, now);
    } else if (message instanceof AcceptReply reply) {
      replicas.get(reply.getShard()).onAcceptReply(reply, now);
    }
  }

  private void dispatchQuorumRead(String peerAddress, SpecificRecord message, long now) {
    if (message instanceof ConfirmQuery query) {
      confirmationRounds.onQuery(peerAddress, query, now);
    } else if (message instanceof ConfirmReply reply) {
      confirmationRounds.onReply(peerAddress, reply, now);
    } else if (message instanceof VersionQuery) {
      confirmationRounds.onVersionQuery(peerAddress);
    } else if (message instanceof VersionReply reply) {
      confirmationRounds.onVersionReply(reply);
    }
  }
}
