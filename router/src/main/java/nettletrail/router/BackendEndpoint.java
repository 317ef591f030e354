package nettletrail.router;

import java.net.InetSocketAddress;

/**
 * One incarnation of a backend that is ready for requests.
 *
 * @param id of the incarnation; never reused
 * @param address that it listens on
 * @param zone failure domain that it runs in
 * @param slots requests that it runs at once; at least 1
 * @param warmUpLeftMs how much longer it is warming up (slow start), in ms; 0 if it is warm
 */
public record BackendEndpoint(
    String id, InetSocketAddress address, String zone, int slots, long warmUpLeftMs) {}
