package nettletrail.app;

import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.Frontend;
import nettletrail.core.SettingsSection;
import nettletrail.extproc.ExtProcServer;
import nettletrail.extproc.ExtProcSettings;

/** {@code [ext_proc]}: off, none of its classes beyond its settings' are loaded. */
final class ExtProcSubsystem implements Subsystem {
    private final SettingsSection section = ExtProcSettings.section();

    @Override
    public SettingsSection section() {
        return section;
    }

    @Override
    public void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults) {
        ExtProcSettings.check(values, faults);
    }

    @Override
    public Optional<Frontend.Factory> front(SettingsSection.Values values, Desk desk) {
        return values.flag("enabled") ? Optional.of(ExtProcServer.factory(ExtProcSettings.of(values))) : Optional.empty();
    }
}
