package nettletrail.control.grant;

/**
 * A tenant's quota at the owner of its shard, for operators; decides nothing. Counts in tokens.
 *
 * @param limit the limit in force
 * @param level what could be granted now, as of the last request
 * @param outstanding what doors may still use of what was granted
 * @param capacity what level and outstanding together never exceed
 * @param doorsServing doors that asked within the last seconds
 */
public record QuotaStatus(
    QuotaLimit limit, double level, double outstanding, double capacity, int doorsServing) {}
