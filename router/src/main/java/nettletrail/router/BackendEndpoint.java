package nettletrail.router;

import java.net.InetSocketAddress;

/**
 * One incarnation of a backend that is ready for requests.
 *
 * @param id of the incarnation; never used again
 * @param address where it listens
 * @param zone where it stands
 * @param slots requests that it works on at once; at least 1
 * @param warmUpLeftMs for how much longer it stays slow from its start
 */
public record BackendEndpoint(
    String id, InetSocketAddress address, String zone, int slots, long warmUpLeftMs) {}
