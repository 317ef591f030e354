package nettletrail.core;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;

/**
 * What a client sent, checked.
 *
 * @param uri path and query, unchanged
 * @param requestId the id that the client gave it
 * @param requestClass position in the settings' classes
 * @param plan position in the settings' plans
 * @param customerDoorCount front doors that the customer's requests come in through; at least 1
 * @param remainingMs how long the client waits, from when it sent this
 * @param body sent on with every attempt; the request's from {@link Dispatcher#accept} on, which releases it when
 *     the request is over
 * @param maxHoldNanos how long the module may hold it before it says where it goes, in ns; {@link Long#MAX_VALUE} for
 * as     long as the client waits
 * @param authorization the client's credentials as it sent them, or null; sent on to nobody
 */
public record InboundRequest(HttpMethod method, String uri, String requestId, int requestClass, int plan, long customer,
        double units, int customerDoorCount, long remainingMs, ByteBuf body, long maxHoldNanos, String authorization) {

    /** One without credentials. */
    public InboundRequest(HttpMethod method, String uri, String requestId, int requestClass, int plan, long customer,
            double units,
            int customerDoorCount, long remainingMs, ByteBuf body, long maxHoldNanos) {
        this(method, uri, requestId, requestClass, plan, customer, units, customerDoorCount, remainingMs, body,
                maxHoldNanos, null);
    }

    /** Without its credentials: it may come into a log. */
    @Override
    public String toString() {
        return "Arrival[" + requestId + "]";
    }

    /** The same for a front that has to say within a budget where it goes. */
    public InboundRequest withMaxHold(long maxHoldNanos) {
        return new InboundRequest(method, uri, requestId, requestClass, plan, customer, units, customerDoorCount,
                remainingMs, body,
                maxHoldNanos, authorization);
    }
}
