package nettletrail.emulator.host;

import nettletrail.protocol.Accept;
import nettletrail.protocol.GrantReply;

/** Sees what a core process does; called within its steps. */
public interface CoreObserver {
  /** The process has finished a step. */
  void stepped(CoreProcess process);

  /** The process sends a replica an accept request. */
  void accepting(CoreProcess process, Accept message);

  /** The process grants quota. */
  void granting(CoreProcess process, GrantReply message);
}
