package nettletrail.app;

import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.SettingsSection;
import nettletrail.decision.ApertureSettings;

/** {@code [aperture]}: which of many backends a front door uses. */
final class ApertureSubsystem implements Subsystem {
    private static final String ENABLED = "enabled";
    private static final String LEAST = "least";
    private static final String SHARE = "doors_per_backend";

    private final SettingsSection section = new SettingsSection("aperture",
            "Which of many backends each front door uses.")
            .flag(ENABLED, ApertureSettings.DEFAULT.enabled(),
                    "whether a front door that knows its number keeps to a part of very many backends")
            .integer(LEAST, 1, ApertureSettings.MAX_VALUE, ApertureSettings.DEFAULT.minBackends(),
                    "backends that each front door uses at least; up to so many, each uses all")
            .integer(SHARE, 1, ApertureSettings.MAX_VALUE, ApertureSettings.DEFAULT.minGatewaysPerBackend(),
                    "front doors that use each backend, at least; up to so many, each uses all backends");

    @Override
    public SettingsSection section() {
        return section;
    }

    @Override
    public void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults) {
        // Each value alone is sound, and they bind each other to nothing.
    }

    @Override
    public Optional<ApertureSettings> aperture(SettingsSection.Values values) {
        return Optional.of(new ApertureSettings(values.flag(ENABLED), (int) values.integer(LEAST),
                (int) values.integer(SHARE)));
    }
}
