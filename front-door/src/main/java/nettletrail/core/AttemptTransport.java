package nettletrail.core;

import java.util.List;
import nettletrail.decision.Gateway.Outcome;

/**
 * Whatever carries attempts to backends: connections of this process, or another proxy that was told where to. It
 * decides nothing: it does not choose, repeat or give up by itself. All of it runs on the event loop.
 */
public interface AttemptTransport {
    /** Takes in the list, or its changes, before the module hears of them. */
    void endpointsUpdated(boolean whole, List<Endpoint> entries);

    /**
     * Starts the attempt. It ends through {@link BackendAttempt#ended}, once, perhaps before this returns, unless it is
     * abandoned first.
     */
    StartedAttempt start(BackendAttempt attempt);

    /** An attempt on its way. */
    interface StartedAttempt {
        /** Whether nothing of it has gone out yet. */
        boolean isUnsent();

        /**
         * Gives it up, and tells how it ended: {@link Outcome#NEVER_SENT} and {@link Outcome#CONNECT_FAILED} only
         * if it is certain that no backend has it or will have it. Nothing more is told of it afterwards.
         */
        Outcome cancel();
    }
}
