package nettletrail.control.grant;

/**
 * A tenant's token bucket at the owner of its shard, as shown to operators. Counts in tokens.
 *
 * @param limit the active limit
 * @param level tokens that could be granted now, as of the last request
 * @param outstanding granted tokens that doors may still use
 * @param capacity the upper bound of {@code level + outstanding}
 * @param doorsServing how many doors requested tokens within the last seconds
 */
public record QuotaStatus(
    QuotaLimit limit, double level, double outstanding, double capacity, int doorsServing) {}
