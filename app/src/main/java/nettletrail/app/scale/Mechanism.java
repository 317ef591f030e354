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

    /** The module of hollow front doors. */
    Dispatcher.Maker maker() {
        return Brain::new;
    }

    /** What the settings say of it: members of their JSON object, each with a comma before it. */
    String settings() {
        return "";
    }
}
