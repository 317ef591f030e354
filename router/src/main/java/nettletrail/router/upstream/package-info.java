/**
 * HTTP/1.1 connections to backends: a pool for each incarnation of a backend, one request at a time
 * on each connection, never pipelined.
 *
 * <p>The entry class is {@link nettletrail.router.upstream.UpstreamPool}; a caller passes an {@link
 * nettletrail.router.upstream.Attempt}, whose methods report the response. The package reports
 * whether a failed request may have run, and never retries: that is the caller's decision. All of
 * it runs on one event loop.
 */
package nettletrail.router.upstream;
