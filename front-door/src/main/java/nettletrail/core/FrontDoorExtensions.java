package nettletrail.core;

import java.util.List;
import nettletrail.decision.ApertureSettings;

/**
 * Optional parts that a process adds to the front door.
 *
 * @param frontends further listeners that accept requests
 * @param limiter limits requests in addition to the gateway's own quotas
 * @param authorizer checks the credentials of requests
 * @param membership knows the other front doors
 * @param aperture which backends are used unless the configuration says otherwise
 */
public record FrontDoorExtensions(
    List<Frontend.Factory> frontends,
    RequestLimiter.Factory limiter,
    Authorizer.Factory authorizer,
    Membership.Factory membership,
    ApertureSettings aperture) {
  /** No extensions. */
  public static final FrontDoorExtensions NONE =
      new FrontDoorExtensions(
          List.of(),
          (name, loop, reader, settings) -> RequestLimiter.NONE,
          (name, loop, clock, reader, settings) -> Authorizer.NONE,
          (name, loop, reader, settings) -> Membership.NONE,
          ApertureSettings.DEFAULT);

  /** Extensions without an authorizer. */
  public FrontDoorExtensions(List<Frontend.Factory> frontends, RequestLimiter.Factory limiter) {
    this(frontends, limiter, NONE.authorizer());
  }

  /** Extensions without a membership. */
  public FrontDoorExtensions(
      List<Frontend.Factory> frontends,
      RequestLimiter.Factory limiter,
      Authorizer.Factory authorizer) {
    this(frontends, limiter, authorizer, NONE.membership(), NONE.aperture());
  }

  public FrontDoorExtensions {
    frontends = List.copyOf(frontends);
  }
}
