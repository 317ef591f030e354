package nettletrail.app;

import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.Members;
import nettletrail.core.Section;
import nettletrail.members.MembersServer;
import nettletrail.members.MembersSettings;

/** {@code [members]}: off, none of its classes beyond its settings' are loaded. */
final class MembersSubsystem implements Subsystem {
    private final Section section = MembersSettings.section();

    @Override
    public Section section() {
        return section;
    }

    @Override
    public void check(Section.Values values, Consumer<Section.Fault> faults) {
        MembersSettings.check(values, faults);
    }

    @Override
    public Optional<Members.Maker> members(Section.Values values, Desk desk) {
        if (!values.flag("enabled")) {
            return Optional.empty();
        }
        Members.Maker maker = MembersServer.maker(MembersSettings.of(values));
        return Optional.of((name, loop, reader, settings) -> {
            Members members = maker.make(name, loop, reader, settings);
            desk.serve("members", (asked, answer) -> members.status(answer));
            return members;
        });
    }
}
