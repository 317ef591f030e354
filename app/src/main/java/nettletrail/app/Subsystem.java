package nettletrail.app;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.Admission;
import nettletrail.core.Bound;
import nettletrail.core.Front;
import nettletrail.core.Members;
import nettletrail.core.Section;
import nettletrail.decision.ApertureSettings;

/** What the operator file may turn on. */
interface Subsystem {
    /** All there are, in the file's order. */
    List<Subsystem> ALL = List.of(new ExtProcSubsystem(), new LimitsSubsystem(), new TokensSubsystem(),
            new MembersSubsystem(), new ApertureSubsystem(), new ControlSubsystem(), new EventsSubsystem());

    Section section();

    /** Rules that hold between the section's values; each alone is sound. */
    void check(Section.Values values, Consumer<Section.Fault> faults);

    /** The front that it adds to the front door, if it is on and adds one. */
    default Optional<Front.Maker> front(Section.Values values, Desk desk) {
        return Optional.empty();
    }

    /** The bound that it adds to those of the module, if it is on and adds one. */
    default Optional<Bound.Maker> bound(Section.Values values) {
        return Optional.empty();
    }

    /** How it learns of other front doors, if it is on and does. */
    default Optional<Members.Maker> members(Section.Values values, Desk desk) {
        return Optional.empty();
    }

    /** Which backends it has the front door use, if it says so. */
    default Optional<ApertureSettings> aperture(Section.Values values) {
        return Optional.empty();
    }

    /** What it does before all else is made. */
    default void begin(Section.Values values) { }

    /** Who decides which requests may come in at all, if it is on and does. */
    default Optional<Admission.Maker> admission(Section.Values values) {
        return Optional.empty();
    }
}
