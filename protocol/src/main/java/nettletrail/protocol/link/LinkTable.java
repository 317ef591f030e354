package nettletrail.protocol.link;

import java.util.HashMap;
import java.util.Map;

/**
 * The links of a process that are up, by the key of their peer: at most one dialled and one
 * accepted link for each key. Lives on the event loop.
 */
final class LinkTable {
  private final Map<String, Link> dialledLinks = new HashMap<>();
  private final Map<String, Link> acceptedLinks = new HashMap<>();

  /** The open link to a peer, preferably the dialled one; null if there is none. */
  Link openLinkTo(String key) {
    Link dialled = openOrNull(dialledLinks.get(key));
    return dialled != null ? dialled : openOrNull(acceptedLinks.get(key));
  }

  private static Link openOrNull(Link link) {
    return link != null && link.isOpen() ? link : null;
  }

  /** The link with the key and direction of this peer; null if there is none. */
  Link linkOf(Peer peer) {
    return linksInDirectionOf(peer).get(peer.key());
  }

  /** Adds a link that is up, in the place of one with the same key and direction. */
  void add(Link link) {
    linksInDirectionOf(link.peer()).put(link.peer().key(), link);
  }

  /** Removes a link; false if it isn't in the table. */
  boolean remove(Link link) {
    Peer peer = link.peer();
    return peer != null && linksInDirectionOf(peer).remove(peer.key(), link);
  }

  private Map<String, Link> linksInDirectionOf(Peer peer) {
    return peer.dialled() ? dialledLinks : acceptedLinks;
  }
}
