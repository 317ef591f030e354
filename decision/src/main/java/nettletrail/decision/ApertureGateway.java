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
        sharers = settings.gatewayCount();
    }

    /**
     * The module behind an aperture; the module itself where that could change nothing: it is off, the gateway doesn't
     * know its number, or there are no more gateways than each backend is to have.
     *
     * @param settings what the module was told
     * @param index the gateway's number among {@code settings.gateways()}, from 0; below 0 if it isn't known
     */
    public static Gateway wrap(Gateway module, Settings settings, int index, ApertureSettings aperture) {
        if (!aperture.enabled() || index < 0 || index >= settings.gatewayCount()
                || settings.gatewayCount() <= aperture.minGatewaysPerBackend()) {
            return module;
        }
        return new ApertureGateway(module, settings, new Aperture(aperture, settings, index));
    }

    @Override
    public void onBackends(long now, boolean whole, List<Backend> entries) {
        Aperture.Told told = aperture.listed(whole, entries);
        if (sharers != aperture.sharers()) {
            sharers = aperture.sharers();
            module.onGatewaysPerBackend(now, sharers);
        }
        if (told.whole() || !told.entries().isEmpty() || aperture.all()) {
            module.onBackends(now, told.whole(), told.entries());
        }
    }

    @Override
    public void onGatewaysPerBackend(long now, double gateways) {
        module.onGatewaysPerBackend(now, gateways);
    }

    @Override
    public void onDiscoveryFailure(long now) {
        module.onDiscoveryFailure(now);
    }

    @Override
    public void onRequest(long now, Request request) {
        module.onRequest(now, request);
    }

    @Override
    public void onAttemptEnd(long now, AttemptReport answer) {
        module.onAttemptEnd(now, answer);
    }

    @Override
    public void onRequestCancelled(long now, long requestId) {
        module.onRequestCancelled(now, requestId);
    }

    @Override
    public void onTimer(long now, int token) {
        module.onTimer(now, token);
    }
}
