package nettletrail.extproc;

import nettletrail.core.Authorizer;
import nettletrail.core.Endpoint;

/** Whoever asked, and waits for one of these; called once, on the event loop. */
interface Asker {
    /**
     * Send the request to this node.
     *
     * @param remainingMs how long this front waits for the outcome
     * @param unsafe it must not run twice
     */
    void forward(Endpoint to, long remainingMs, boolean unsafe);

    /** Not sent to anybody, and trying again is harmless. 0 ns: no word on when. */
    void refuse(long retryAfterNs);

    /** Not to be sent: its effect is open, or nobody can tell. 502 or 504. */
    void fail(int status, String why);

    /** Not to be sent: what it brings to prove that it may come in doesn't. */
    void deny(Authorizer.Denial denial);

    /** It can't be taken on as it is. */
    void malformed(String what);
}
