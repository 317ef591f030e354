package nettletrail.app;

import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.core.Admission;
import nettletrail.core.Section;
import nettletrail.tokens.TokensAdmission;
import nettletrail.tokens.TokensSettings;

/** {@code [tokens]}: off, none of its classes beyond its settings' are loaded. */
final class TokensSubsystem implements Subsystem {
    private final Section section = TokensSettings.section();

    @Override
    public Section section() {
        return section;
    }

    @Override
    public void check(Section.Values values, Consumer<Section.Fault> faults) {
        TokensSettings.check(values, faults);
    }

    @Override
    public Optional<Admission.Maker> admission(Section.Values values) {
        return values.flag("enabled") ? Optional.of(TokensAdmission.maker(TokensSettings.of(values))) : Optional.empty();
    }
}
