package nettletrail.app.scale;

import nettletrail.core.Dispatcher;
import nettletrail.decision.ApertureGateway;
import nettletrail.decision.ApertureSettings;
import nettletrail.decision.GatewayDecider;

/**
 * What the module of every front door in a run is told, hollow or real: with the mechanism for large fleets, or without.
 * It is the aperture, by its defaults; the one place where it is switched is here.
 */
enum Mechanism {
    OFF, ON;

    /** The module of a hollow front door, whose number tells its place among them all. */
    Dispatcher.GatewayFactory maker(int number) {
        return this == OFF ? GatewayDecider::new : (settings, now, actions) -> ApertureGateway.wrap(
                new GatewayDecider(settings, now, actions), settings, number, ApertureSettings.DEFAULT);
    }

    /** What a real front door's settings say of it: members of their JSON object, each with a comma before it. */
    String settings(int number) {
        return ",\"Index\":" + number + (this == ON ? "" : ",\"Aperture\":{\"Enabled\":false}");
    }
}
