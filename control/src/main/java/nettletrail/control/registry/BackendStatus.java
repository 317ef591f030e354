package nettletrail.control.registry;

import nettletrail.protocol.Backend;

/**
 * A backend as one core process knows it, as shown to operators.
 *
 * @param backend its newest report
 * @param lastSeenAgoMs milliseconds since any core process last saw it, as far as known here
 * @param expired whether it expired, having been out of contact for too long
 */
public record BackendStatus(Backend backend, long lastSeenAgoMs, boolean expired) {}
