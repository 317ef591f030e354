/** One front door: its configuration, start, warm-up, reload and drain. */
package nettletrail.door;
