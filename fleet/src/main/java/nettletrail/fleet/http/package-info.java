/** The HTTP interface of the core: calls of the backends and of the operator. */
package nettletrail.fleet.http;
