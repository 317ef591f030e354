package nettletrail.protocol.link;

import nettletrail.protocol.Hello;

/**
 * What all links of one process share.
 *
 * @param settings limits and timers
 * @param ownHello the first message that this process sends on each link
 * @param codec used by all links, on their event loop
 * @param metrics counts all messages
 * @param listener receives the events of each link
 */
record LinkContext(
    LinkSettings settings,
    Hello ownHello,
    EnvelopeCodec codec,
    LinkMetrics metrics,
    Link.Listener listener) {}
