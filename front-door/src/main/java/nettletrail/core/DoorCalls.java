package nettletrail.core;

import java.util.function.Consumer;
import nettletrail.core.Membership.MemberIncarnation;

/**
 * Calls between front doors, sealed under the members' key; for subsystems that agree on something with other doors. A call
 * ends in just one answer or one failure; a failure says nothing of whether it was heard. All on the front door's loop.
 */
public interface DoorCalls {
    /** Reaches nobody. */
    DoorCalls NONE = new DoorCalls() { };

    /** Hears what came of a call: one of the two, once. */
    interface ResponseCallback {
        void completed(byte[] body);

        /** No answer in its time, or it couldn't be sent; it may have been heard all the same. */
        void failed();
    }

    /** Answers calls. */
    interface CallHandler {
        /**
         * @param from who calls, authentic
         * @param answer takes the answer once, at any time; a late one is dropped
         */
        void handle(MemberIncarnation from, byte[] body, Consumer<byte[]> answer);
    }

    /**
     * Calls this life of a door; another life of its name doesn't answer in its place.
     *
     * @param channel which subsystem answers
     * @param body at most 1 MiB
     */
    default void call(MemberIncarnation to, String channel, byte[] body, long timeoutNanos, ResponseCallback answer) {
        answer.failed();
    }

    /** Who answers on a channel from now on. */
    default void registerHandler(String channel, CallHandler handler) { }
}
