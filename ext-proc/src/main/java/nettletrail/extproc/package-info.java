/**
 * A server that other proxies call for a decision on each request, over gRPC (Envoy's external
 * processor) or HTTP (forward-auth), and to which they report the outcome. {@link
 * nettletrail.extproc.DeduplicationDecider} decides what a repeated decision request gets. The
 * decision module chooses the endpoint, as for requests to the front door.
 */
package nettletrail.extproc;
