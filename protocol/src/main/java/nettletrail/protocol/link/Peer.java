package nettletrail.protocol.link;

import nettletrail.protocol.Hello;

/**
 * The other end of one link that is up.
 *
 * @param key what {@link Links#send} knows the peer by: the dialled address; for an accepted link a
 *     door's node name or a core process's internal address
 * @param role the role that the peer's hello names
 * @param dialled true if this process opened the link
 * @param hello the peer's first message
 */
public record Peer(String key, String role, boolean dialled, Hello hello) {}
