package nettletrail.configuration;

/**
 * A service that backends register for.
 *
 * @param name unique among services
 * @param healthPath the path of the health check
 * @param connectionCap how many connections one backend accepts from all callers together
 * @param engine the inference engine, or null if the service has none
 */
public record Service(String name, String healthPath, int connectionCap, Engine engine) {}
