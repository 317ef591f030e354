/**
 * Control plane: replicated shards and their owners, registry of backends with its feed, leases of
 * doors, grants. Pure deciders only.
 */
package nettletrail.control;
