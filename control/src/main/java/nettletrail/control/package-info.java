/** Control plane: replicated shards, leases, registry of backends, feed, grants. */
package nettletrail.control;
