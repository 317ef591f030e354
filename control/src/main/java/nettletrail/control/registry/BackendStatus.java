package nettletrail.control.registry;

import nettletrail.protocol.Backend;

/**
 * What one core process knows of a backend, for operators; decides nothing.
 *
 * @param backend its newest report
 * @param lastSeenAgoMs how long ago any core process heard of it, as far as known here
 * @param expired whether nobody has heard of it for too long
 */
public record BackendStatus(Backend backend, long lastSeenAgoMs, boolean expired) {}
