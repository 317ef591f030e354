package nettletrail.core;

import java.util.function.Consumer;
import nettletrail.core.Members.Life;

/**
 * Calls between front doors, sealed under the members' key; for subsystems that agree on something with other doors. A call
 * ends in just one answer or one failure; a failure says nothing of whether it was heard. All on the front door's loop.
 */
public interface Doors {
    /** Reaches nobody. */
    Doors NONE = new Doors() { };

    /** Hears what came of a call: one of the two, once. */
    interface Answer {
        void answered(byte[] body);

        /** No answer in its time, or it couldn't be sent; it may have been heard all the same. */
        void failed();
    }

    /** Answers calls. */
    interface Handler {
        /**
         * @param from who calls, authentic
         * @param answer takes the answer once, at any time; a late one is dropped
         */
        void called(Life from, byte[] body, Consumer<byte[]> answer);
    }

    /**
     * Calls this life of a door; another life of its name doesn't answer in its place.
     *
     * @param channel which subsystem answers
     * @param body at most 1 MiB
     */
    default void call(Life to, String channel, byte[] body, long timeoutNs, Answer answer) {
        answer.failed();
    }

    /** Who answers on a channel from now on. */
    default void serve(String channel, Handler handler) { }
}
