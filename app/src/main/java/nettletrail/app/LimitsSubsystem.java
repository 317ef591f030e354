package nettletrail.app;

import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.RequestLimiter;
import nettletrail.core.SettingsSection;
import nettletrail.limits.LimitsBound;
import nettletrail.limits.LimitsSettings;

/** {@code [limits]}: off, none of its classes beyond its settings' are loaded. */
final class LimitsSubsystem implements Subsystem {
    private final SettingsSection section = LimitsSettings.section();

    @Override
    public SettingsSection section() {
        return section;
    }

    @Override
    public void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults) {
        LimitsSettings.check(values, faults);
    }

    @Override
    public Optional<RequestLimiter.Factory> bound(SettingsSection.Values values) {
        return values.flag("enabled") ? Optional.of(LimitsBound.maker(LimitsSettings.of(values))) : Optional.empty();
    }
}
