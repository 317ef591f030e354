package nettletrail.core;

import java.util.function.Consumer;
import nettletrail.core.Membership.MemberIncarnation;

/**
 * Remote calls between front doors, encrypted with the members' key, for subsystems that coordinate
 * with other doors. A call ends in exactly one response or one failure; after a failure the call
 * may or may not have been handled. Runs on the front door's event loop.
 */
public interface DoorCalls {
  /** Every call fails. */
  DoorCalls NONE = new DoorCalls() {};

  /** Receives the result of a call: one of the two methods is called, once. */
  interface ResponseCallback {
    void completed(byte[] body);

    /** The call timed out or couldn't be sent; it may have been handled all the same. */
    void failed();
  }

  /** Handles calls. */
  interface CallHandler {
    /**
     * @param from the authenticated caller
     * @param answer accepts the response once, at any time; one after the caller's timeout is
     *     dropped
     */
    void handle(MemberIncarnation from, byte[] body, Consumer<byte[]> answer);
  }

  /**
   * Calls this incarnation of a front door; another incarnation of the same name does not answer in
   * its place.
   *
   * @param channel name of the subsystem that handles the call
   * @param body at most 1 MiB
   */
  default void call(
      MemberIncarnation to,
      String channel,
      byte[] body,
      long timeoutNanos,
      ResponseCallback answer) {
    answer.failed();
  }

  /** Registers the handler of a channel's calls. */
  default void registerHandler(String channel, CallHandler handler) {}
}
