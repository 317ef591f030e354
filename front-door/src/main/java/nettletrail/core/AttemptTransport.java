package nettletrail.core;

import java.util.List;
import nettletrail.decision.Gateway.Outcome;

/**
 * Sends attempts to backends: over connections of this process, or through another proxy that was
 * told the backend. It makes no decisions: it neither chooses backends, nor retries, nor cancels by
 * itself. Runs on the event loop.
 */
public interface AttemptTransport {
  /** Applies the list of endpoints, or changes to it, before the decision module sees them. */
  void endpointsUpdated(boolean whole, List<Endpoint> entries);

  /**
   * Starts the attempt. It ends through {@link BackendAttempt#ended}, once, perhaps before this
   * returns, unless it is cancelled first.
   */
  StartedAttempt start(BackendAttempt attempt);

  /** A started attempt. */
  interface StartedAttempt {
    /** Whether no byte of it has been sent yet. */
    boolean isUnsent();

    /**
     * Cancels the attempt and returns its outcome: {@link Outcome#NEVER_SENT} and {@link
     * Outcome#CONNECT_FAILED} only if it is certain that no backend has received it or will. {@link
     * BackendAttempt#ended} is not called afterwards.
     */
    Outcome cancel();
  }
}
