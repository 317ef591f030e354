/**
 * A relay between sockets that breaks them on command: toxics with a name, a kind, a stream and a toxicity, chosen by
 * rule, changed while it runs, each fault that is done logged with time, connection and byte. For tests through
 * {@link nettletrail.faults.FaultRelay}, for people through its HTTP control interface.
 */
package nettletrail.faults;
