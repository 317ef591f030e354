package nettletrail.app.scale;

import nettletrail.core.Dispatcher;
import nettletrail.decision.Brain;

/**
 * What the module of every front door in a run is told, hollow or real: with the mechanism for large fleets, or without.
 * There is none yet, so both are the same; the one place where it is switched is here.
 */
enum Mechanism {
    OFF, ON;

    /** Whether the two differ. */
    static final boolean PRESENT = false;

    /** The module of a hollow front door, whose number tells its place among them all. */
    Dispatcher.Maker maker(int number) {
        return Brain::new;
    }

    /** What a real front door's settings say of it: members of their JSON object, each with a comma before it. */
    String settings(int number) {
        return ",\"Index\":" + number + (this == ON ? "" : ",\"Aperture\":{\"Enabled\":false}");
    }
}
