package nettletrail.app.scale.thin;

/**
 * What a play came to.
 *
 * @param asked requests that came
 * @param sends attempts
 * @param meanMs of the answers served, from arrival, what was held with it
 * @param p99Ms the same
 * @param inAim share of those asked that were served within the aim
 * @param refused share of those asked
 * @param refusedAtOnce share of those asked that were refused in the instant they came
 * @param refusedHeld share of those asked that were refused after being held, never sent
 * @param refusedTried share of those asked that were refused after an attempt
 * @param failed share of those asked that failed or whose client left
 * @param imbalance most sends to one backend against the mean
 * @param zoneImbalance the same over all zones, each backend against the mean of its zone
 * @param reuse share of sends that came while the door's last connection to that backend was kept
 * @param connectionsPerDoor kept or in use at the end, mean over doors
 * @param backendsPerDoor that a door sent to in the last minute, or in the whole play if that was shorter, mean
 * @param moduleUsPerRequest processor time in the module, in us a request, cold code included; from one call in 16
 */
public record ThinResult(int asked, int sends, double meanMs, double p99Ms, double inAim, double refused,
        double refusedAtOnce, double refusedHeld, double refusedTried, double failed, double imbalance,
        double zoneImbalance, double reuse, double connectionsPerDoor, double backendsPerDoor,
        double moduleUsPerRequest) {
}
