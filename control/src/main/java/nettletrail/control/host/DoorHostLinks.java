package nettletrail.control.host;

import org.apache.avro.specific.SpecificRecord;

/** The links of a door to core processes. */
public interface DoorHostLinks {
  /** Keeps a link to this address, dialling again whenever it is lost, until {@link #undial}. */
  void dial(String address);

  /** Drops the link to this address. */
  void undial(String address);

  /** Sends a message to a core process; lost silently without a link to it. */
  void send(String address, SpecificRecord message);

  /** Whether any link with this core process is up. */
  boolean isUp(String address);
}
