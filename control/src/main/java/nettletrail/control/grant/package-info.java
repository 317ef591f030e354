/** Grants of tenants' quota tokens by the owner of a tenant's shard. Pure. */
package nettletrail.control.grant;
