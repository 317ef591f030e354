package nettletrail.core;

import io.netty.buffer.ByteBuf;

/** Where a request's one final answer goes: just one of the three is called, once, on the event loop. */
public interface RequestClient {
    /** Served. The body is the caller's; what is kept of it must be retained. */
    void served(ByteBuf body, String contentType);

    /** Declined, and trying again is harmless. 0 ns: no word on when to come again. */
    void rejected(long retryAfterNanos);

    /** May not come in; nothing of it was sent on. In place of the three. */
    default void denied(Authorizer.Denial denial) {
        if (denial.status() == 503) {
            rejected(denial.retryAfterNanos());
        } else {
            failed(denial.status());
        }
    }

    /** Takes in what has come from it and was not read yet; false if it has left. */
    default boolean readPending() {
        return true;
    }

    /** Failed, nothing promised about its effect: 502, or 504 if its time is up. */
    void failed(int status);
}
