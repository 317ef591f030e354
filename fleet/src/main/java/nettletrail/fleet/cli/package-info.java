/**
 * The operators' client: reads, writes and compares the fleet's configuration and checks files
 * before they are used. The daemons load nothing of it.
 */
package nettletrail.fleet.cli;
