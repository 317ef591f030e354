package nettletrail.core;

import java.util.List;
import nettletrail.decision.ApertureSettings;

/**
 * What a process has beside the platform's front door.
 *
 * @param aperture which backends are used, where the configuration doesn't say otherwise
 */
public record FrontDoorExtensions(List<Frontend.Factory> frontends, RequestLimiter.Factory limiter,
        Authorizer.Factory authorizer, Membership.Factory membership,
        ApertureSettings aperture) {
    /** Nothing. */
    public static final FrontDoorExtensions NONE = new FrontDoorExtensions(List.of(), (name, loop, reader, settings) ->
            RequestLimiter.NONE,
            (name, loop, clock, reader, settings) -> Authorizer.NONE, (name, loop, reader, settings) -> Membership.NONE,
            ApertureSettings.DEFAULT);

    /** Those, and nobody asked for credentials. */
    public FrontDoorExtensions(List<Frontend.Factory> frontends, RequestLimiter.Factory limiter) {
        this(frontends, limiter, NONE.authorizer());
    }

    /** Those, and no other front doors known. */
    public FrontDoorExtensions(List<Frontend.Factory> frontends, RequestLimiter.Factory limiter,
            Authorizer.Factory authorizer) {
        this(frontends, limiter, authorizer, NONE.membership(), NONE.aperture());
    }

    public FrontDoorExtensions {
        frontends = List.copyOf(frontends);
    }
}
