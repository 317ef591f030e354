package nettletrail.protocol.link;

import nettletrail.protocol.Hello;

/**
 * The other end of a link that is up.
 *
 * @param key identifies the peer in {@link Links#send}: the dialled address; for an accepted link a
 *     door's node name or a core process's internal address
 * @param role the role in the peer's hello
 * @param dialled true if this process opened the link
 * @param hello the peer's first message
 */
public record Peer(String key, String role, boolean dialled, Hello hello) {}
