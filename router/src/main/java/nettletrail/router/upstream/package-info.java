/** Connections to backends: one request at a time on each, written once. */
package nettletrail.router.upstream;
