package nettletrail.emulator.host;

import nettletrail.protocol.Accept;
import nettletrail.protocol.GrantReply;

/** Sees what a core process does; called within its steps. */
public interface CoreObserver {
  /** The process has finished a step. */
  void stepped(EmulatedCoreProcess process);

  /** The process sends a replica an accept request. */
  void accepting(EmulatedCoreProcess process, Accept message);

  /** The process grants quota. */
  void granting(EmulatedCoreProcess process, GrantReply message);
}
