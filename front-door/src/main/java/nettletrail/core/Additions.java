package nettletrail.core;

import java.util.List;
import nettletrail.decision.ApertureSettings;

/**
 * What a process has beside the platform's front door.
 *
 * @param aperture which backends are used, where the configuration doesn't say otherwise
 */
public record Additions(List<Front.Maker> fronts, Bound.Maker bound, Admission.Maker admission, Members.Maker members,
        ApertureSettings aperture) {
    /** Nothing. */
    public static final Additions NONE = new Additions(List.of(), (name, loop, reader, settings) -> Bound.NONE,
            (name, loop, clock, reader, settings) -> Admission.NONE, (name, loop, reader, settings) -> Members.NONE,
            ApertureSettings.DEFAULT);

    /** Those, and nobody asked for credentials. */
    public Additions(List<Front.Maker> fronts, Bound.Maker bound) {
        this(fronts, bound, NONE.admission());
    }

    /** Those, and no other front doors known. */
    public Additions(List<Front.Maker> fronts, Bound.Maker bound, Admission.Maker admission) {
        this(fronts, bound, admission, NONE.members(), NONE.aperture());
    }

    public Additions {
        fronts = List.copyOf(fronts);
    }
}
