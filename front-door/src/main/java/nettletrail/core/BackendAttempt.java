package nettletrail.core;

import io.netty.buffer.ByteBuf;
import nettletrail.decision.Gateway.Outcome;

/**
 * One attempt of a request at one backend, as seen by the transport. Used on the event loop only.
 */
public abstract class BackendAttempt {
  private final long backendId;

  protected BackendAttempt(long backendId) {
    this.backendId = backendId;
  }

  /** Id of the backend that the attempt is sent to. */
  public final long backendId() {
    return backendId;
  }

  /** The request to send. Its body belongs to the request: retain what is written of it. */
  public abstract InboundRequest request();

  /** The client that receives the request's final response. */
  public abstract RequestClient client();

  /** Whole ms that the frontend still waits for the response; at least 1. */
  public abstract long remainingMs();

  /** ns until the request's deadline; negative once it has passed. */
  public abstract long remainingNanos();

  /**
   * Called just before the first byte is sent. Reads pending input first (a client's disconnect, an
   * endpoint update), so that the transport must check its own endpoints after this call.
   *
   * @return false if the request has ended: the attempt must not be sent
   */
  public boolean isWanted() {
    return true;
  }

  /**
   * The attempt is being written: its latency is measured from here, not from the search for a
   * connection. Called at most once; without the call, latency is measured from the start.
   */
  public abstract void sendStarted();

  /**
   * The attempt ended. Called at most once, and not after it was cancelled.
   *
   * @param report the response's metadata, {@link BackendReport#NONE} if there is none
   * @param body of a successful response; owned by the caller
   */
  public abstract void ended(
      Outcome outcome, BackendReport report, ByteBuf body, String contentType);

  /**
   * Called in place of {@link #ended} when the transport has already given the client a response:
   * the request ends too, without a retry and without another response.
   */
  public abstract void endedWithRequest(Outcome outcome, BackendReport report);

  /** The attempt ended without a response. */
  public final void ended(Outcome outcome) {
    ended(outcome, BackendReport.NONE, null, null);
  }
}
