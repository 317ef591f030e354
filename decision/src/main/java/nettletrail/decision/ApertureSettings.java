package nettletrail.decision;

/**
 * How many of the listed backends a gateway uses; see {@link Aperture}.
 *
 * @param enabled whether it keeps to a part of them at all
 * @param minBackends backends that it uses at least; up to so many listed, it uses all
 * @param minGatewaysPerBackend gateways that use each backend, at least
 */
public record ApertureSettings(boolean enabled, int minBackends, int minGatewaysPerBackend) {
    /** The most that both figures may be. */
    public static final int MAX_VALUE = 1_000_000;
    /**
     * Without a word from operators. Up to 256 backends a request costs the module a few microseconds, and every
     * gateway uses all; eight gateways a backend spread what comes to one gateway by chance over the others.
     */
    public static final ApertureSettings DEFAULT = new ApertureSettings(true, 256, 8);
    /** All gateways use all backends. */
    public static final ApertureSettings OFF = new ApertureSettings(false, 1, 1);

    /** @throws IllegalArgumentException if a figure is out of range, naming the field */
    public ApertureSettings {
        Gateway.requireInRange(minBackends >= 1 && minBackends <= MAX_VALUE, "ApertureSettings.minBackends");
        Gateway.requireInRange(minGatewaysPerBackend >= 1 && minGatewaysPerBackend <= MAX_VALUE,
                "ApertureSettings.minGatewaysPerBackend");
    }
}
