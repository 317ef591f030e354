package nettletrail.app;

import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.Authorizer;
import nettletrail.core.SettingsSection;
import nettletrail.tokens.TokensAdmission;
import nettletrail.tokens.TokensSettings;

/** {@code [tokens]}: off, none of its classes beyond its settings' are loaded. */
final class TokensSubsystem implements Subsystem {
    private final SettingsSection section = TokensSettings.section();

    @Override
    public SettingsSection section() {
        return section;
    }

    @Override
    public void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults) {
        TokensSettings.check(values, faults);
    }

    @Override
    public Optional<Authorizer.Factory> admission(SettingsSection.Values values) {
        return values.flag("enabled") ? Optional.of(TokensAdmission.maker(TokensSettings.of(values))) : Optional.empty();
    }
}
