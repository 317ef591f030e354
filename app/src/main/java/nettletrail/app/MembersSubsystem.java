package nettletrail.app;

import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.Membership;
import nettletrail.core.SettingsSection;
import nettletrail.members.MembersServer;
import nettletrail.members.MembersSettings;

/** {@code [members]}: off, none of its classes beyond its settings' are loaded. */
final class MembersSubsystem implements Subsystem {
    private final SettingsSection section = MembersSettings.section();

    @Override
    public SettingsSection section() {
        return section;
    }

    @Override
    public void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults) {
        MembersSettings.check(values, faults);
    }

    @Override
    public Optional<Membership.Factory> members(SettingsSection.Values values, Desk desk) {
        if (!values.flag("enabled")) {
            return Optional.empty();
        }
        Membership.Factory maker = MembersServer.maker(MembersSettings.of(values));
        return Optional.of((name, loop, reader, settings) -> {
            Membership members = maker.create(name, loop, reader, settings);
            desk.serve("members", (asked, answer) -> members.status(answer));
            return members;
        });
    }
}
