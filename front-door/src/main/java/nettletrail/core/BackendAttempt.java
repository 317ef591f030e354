package nettletrail.core;

import io.netty.buffer.ByteBuf;
import nettletrail.decision.Gateway.Outcome;

/** A request on its way to one backend, as its carrier sees it. Used on the event loop only. */
public abstract class BackendAttempt {
    private final long backendId;

    protected BackendAttempt(long backendId) {
        this.backendId = backendId;
    }

    /** Where it goes. */
    public final long backendId() {
        return backendId;
    }

    /** What is to be sent. Its body is the request's: what is written of it must be retained. */
    public abstract InboundRequest request();

    /** Who gets the request's final answer. */
    public abstract RequestClient client();

    /** Whole ms that this front still waits for the answer; at least 1. */
    public abstract long remainingMs();

    /** ns until the request's time is up; below 0 if it is. */
    public abstract long remainingNanos();

    /**
     * Asked just before its first byte may go out. What has come by now that tells against it (its client left, the
     * list changed) is heard before this returns, so that the carrier looks at its own list after this.
     *
     * @return false if its request has ended: it must not be sent
     */
    public boolean isWanted() {
        return true;
    }

    /**
     * It is being written now: its time counts from here, not from when a connection was looked for. Called once at
     * most; where it isn't, the time counts from the start.
     */
    public abstract void sendStarted();

    /**
     * It ended. Called once at most, and not after it was abandoned.
     *
     * @param report what the answer told beside its body, {@link BackendReport#NONE} if there is none
     * @param body of a good answer; the caller's
     */
    public abstract void ended(Outcome outcome, BackendReport report, ByteBuf body, String contentType);

    /**
     * It ended, and the request with it, in place of {@link #ended}: whoever carried it has given the client its
     * answer, whichever that was, so that neither is there another attempt nor is the client told anything.
     */
    public abstract void endedWithRequest(Outcome outcome, BackendReport report);

    /** It ended without an answer. */
    public final void ended(Outcome outcome) {
        ended(outcome, BackendReport.NONE, null, null);
    }
}
