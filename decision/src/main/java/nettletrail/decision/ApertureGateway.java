package nettletrail.decision;

import java.util.List;

/**
 * A decision module that is told only of the backends in its gateway's {@link Aperture}; all other events go through as
 * they are. A backend that leaves the set is told as gone: nothing new is sent there, what is out ends as it ends. Where
 * all backends are in the set, the module gets exactly the calls that it would get without this.
 */
public final class ApertureGateway implements Gateway {
    private final Gateway module;
    private final Aperture aperture;
    private double sharers;

    private ApertureGateway(Gateway module, Settings settings, Aperture aperture) {
        this.module = module;
        this.aperture = aperture;
        sharers = settings.gateways();
    }

    /**
     * The module behind an aperture; the module itself where that could change nothing: it is off, the gateway doesn't
     * know its number, or there are no more gateways than each backend is to have.
     *
     * @param settings what the module was told
     * @param index the gateway's number among {@code settings.gateways()}, from 0; below 0 if it isn't known
     */
    public static Gateway around(Gateway module, Settings settings, int index, ApertureSettings aperture) {
        if (!aperture.enabled() || index < 0 || index >= settings.gateways()
                || settings.gateways() <= aperture.doorsPerBackend()) {
            return module;
        }
        return new ApertureGateway(module, settings, new Aperture(aperture, settings, index));
    }

    @Override
    public void listed(long now, boolean whole, List<Backend> entries) {
        Aperture.Told told = aperture.listed(whole, entries);
        if (sharers != aperture.sharers()) {
            sharers = aperture.sharers();
            module.sharedBy(now, sharers);
        }
        if (told.whole() || !told.entries().isEmpty() || aperture.all()) {
            module.listed(now, told.whole(), told.entries());
        }
    }

    @Override
    public void sharedBy(long now, double gateways) {
        module.sharedBy(now, gateways);
    }

    @Override
    public void listFailed(long now) {
        module.listFailed(now);
    }

    @Override
    public void arrived(long now, Request request) {
        module.arrived(now, request);
    }

    @Override
    public void answered(long now, Answer answer) {
        module.answered(now, answer);
    }

    @Override
    public void departed(long now, long requestId) {
        module.departed(now, requestId);
    }

    @Override
    public void woken(long now, int token) {
        module.woken(now, token);
    }
}
