package nettletrail.router;

import io.netty.handler.codec.http.HttpResponse;

/** The response of one exchange while it is relayed to the client. On the event loop. */
final class ExchangeResponse {
  /** Null if no backend's response has started. */
  private ResponseRelay relay;

  /** Head of a backend's response which can't resume the client's stream; else null. */
  private HttpResponse unusableResume;

  /** Relays the response; null if there is none. */
  ResponseRelay relay() {
    return relay;
  }

  /** Replaces the relay; the previous one is released. */
  void relayWith(ResponseRelay next) {
    releaseRelay();
    relay = next;
  }

  void releaseRelay() {
    if (relay != null) {
      relay.release();
      relay = null;
    }
  }

  /** Releases the relay unless the client has received a part of the response. */
  void releaseRelayIfNotBegun() {
    if (relay != null && !relay.hasBegun()) {
      releaseRelay();
    }
  }

  /** Sends what the relay has ready for the client. */
  void flush() {
    if (relay != null) {
      relay.flush();
    }
  }

  /**
   * Whether another backend can continue the response: from its beginning, or after an event that
   * has an id.
   */
  boolean canResumeElsewhere() {
    return relay == null || !relay.hasBegun() || relay.resumeAfter() >= 0;
  }

  /** The id of the event after which the next backend continues, or -1. */
  long resumeAfter() {
    return relay == null ? -1 : relay.resumeAfter();
  }

  /** Events that the client has received. */
  long events() {
    return relay == null ? 0 : relay.events();
  }

  /** Head of the current response if it can't resume the client's stream; else null. */
  HttpResponse unusableResume() {
    return unusableResume;
  }

  void setUnusableResume(HttpResponse head) {
    unusableResume = head;
  }

  void clearUnusableResume() {
    unusableResume = null;
  }
}
