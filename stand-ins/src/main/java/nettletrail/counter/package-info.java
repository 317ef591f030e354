/** A counter that front doors share, as the public protocol describes it (RESP, scripts), with the faults such servers have. */
package nettletrail.counter;
