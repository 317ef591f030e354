/**
 * Quota tokens of tenants: the owner of a tenant's shard grants them to doors for a short time, so
 * that all doors together keep the tenant's limit.
 *
 * <p>{@link nettletrail.control.grant.GrantOwner} is the entry; it has a token bucket for each
 * tenant ({@link nettletrail.control.grant.TenantBucket}) and divides scarce tokens by max-min
 * fairness. The door's side is {@code nettletrail.control.door.GrantClient}.
 *
 * <p>The package decides only: it sends and stores nothing, reads no clock, and doesn't know who
 * owns a shard; callers pass the time and check the owner's lease. All calls are made by the
 * control thread.
 */
package nettletrail.control.grant;
