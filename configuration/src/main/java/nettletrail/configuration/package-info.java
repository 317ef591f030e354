/**
 * The operator's configuration: reading, checking, patching, and the routing model compiled from
 * it.
 */
package nettletrail.configuration;
