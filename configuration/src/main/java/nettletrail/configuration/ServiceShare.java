package nettletrail.configuration;

/**
 * One service of a route.
 *
 * @param service the name of the service
 * @param weight its share of the route's requests relative to the other weights; zero for none
 */
public record ServiceShare(String service, int weight) {}
