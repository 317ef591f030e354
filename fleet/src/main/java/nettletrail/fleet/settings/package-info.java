/**
 * The settings that the platform gives a process: read from a file, checked whole, watched for
 * changes.
 */
package nettletrail.fleet.settings;
