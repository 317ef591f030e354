/**
 * The core's registry of backends: merging, expiry, hinted handoff between core processes, the feed
 * that doors tail. Pure.
 */
package nettletrail.control.registry;
