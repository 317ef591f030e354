package nettletrail.decision;

/**
 * How many of the listed backends a gateway uses; see {@link Aperture}.
 *
 * @param enabled whether it uses only a subset at all
 * @param minBackends minimum number of backends that it uses; up to this many listed, it uses all
 * @param minGatewaysPerBackend minimum number of gateways that use each backend
 */
public record ApertureSettings(boolean enabled, int minBackends, int minGatewaysPerBackend) {
  /** Maximum of both numbers. */
  public static final int MAX_VALUE = 1_000_000;

  /**
   * The default. Up to 256 backends a request costs a gateway's decisions a few microseconds, and
   * every gateway uses all; eight gateways per backend spread one gateway's random bursts over the
   * others.
   */
  public static final ApertureSettings DEFAULT = new ApertureSettings(true, 256, 8);

  /** Every gateway uses all backends. */
  public static final ApertureSettings OFF = new ApertureSettings(false, 1, 1);

  /**
   * @throws IllegalArgumentException if a number is out of range, naming the field
   */
  public ApertureSettings {
    Gateway.requireInRange(
        minBackends >= 1 && minBackends <= MAX_VALUE, "ApertureSettings.minBackends");
    Gateway.requireInRange(
        minGatewaysPerBackend >= 1 && minGatewaysPerBackend <= MAX_VALUE,
        "ApertureSettings.minGatewaysPerBackend");
  }
}
