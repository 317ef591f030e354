package nettletrail.app;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.Authorizer;
import nettletrail.core.Frontend;
import nettletrail.core.Membership;
import nettletrail.core.RequestLimiter;
import nettletrail.core.SettingsSection;
import nettletrail.decision.ApertureSettings;

/** What the operator file may turn on. */
interface Subsystem {
    /** All there are, in the file's order. */
    List<Subsystem> ALL = List.of(new ExtProcSubsystem(), new LimitsSubsystem(), new TokensSubsystem(),
            new MembersSubsystem(), new ApertureSubsystem(), new ControlSubsystem(), new EventsSubsystem());

    SettingsSection section();

    /** Rules that hold between the section's values; each alone is sound. */
    void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults);

    /** The front that it adds to the front door, if it is on and adds one. */
    default Optional<Frontend.Factory> front(SettingsSection.Values values, Desk desk) {
        return Optional.empty();
    }

    /** The bound that it adds to those of the module, if it is on and adds one. */
    default Optional<RequestLimiter.Factory> bound(SettingsSection.Values values) {
        return Optional.empty();
    }

    /** How it learns of other front doors, if it is on and does. */
    default Optional<Membership.Factory> members(SettingsSection.Values values, Desk desk) {
        return Optional.empty();
    }

    /** Which backends it has the front door use, if it says so. */
    default Optional<ApertureSettings> aperture(SettingsSection.Values values) {
        return Optional.empty();
    }

    /** What it does before all else is made. */
    default void begin(SettingsSection.Values values) { }

    /** Who decides which requests may come in at all, if it is on and does. */
    default Optional<Authorizer.Factory> admission(SettingsSection.Values values) {
        return Optional.empty();
    }
}
