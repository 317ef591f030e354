/** The catalogue of the fleet's log events. */
package nettletrail.protocol.event;
