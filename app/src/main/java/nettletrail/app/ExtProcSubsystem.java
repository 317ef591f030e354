package nettletrail.app;

import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.Front;
import nettletrail.core.Section;
import nettletrail.extproc.ExtProcServer;
import nettletrail.extproc.ExtProcSettings;

/** {@code [ext_proc]}: off, none of its classes beyond its settings' are loaded. */
final class ExtProcSubsystem implements Subsystem {
    private final Section section = ExtProcSettings.section();

    @Override
    public Section section() {
        return section;
    }

    @Override
    public void check(Section.Values values, Consumer<Section.Fault> faults) {
        ExtProcSettings.check(values, faults);
    }

    @Override
    public Optional<Front.Maker> front(Section.Values values, Desk desk) {
        return values.flag("enabled") ? Optional.of(ExtProcServer.factory(ExtProcSettings.of(values))) : Optional.empty();
    }
}
