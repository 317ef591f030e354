package nettletrail.control.host;

import nettletrail.control.shard.CoreAction.GroupChanged;
import nettletrail.control.shard.CoreAction.GroupMissing;
import nettletrail.control.shard.CoreAction.GroupsFounded;

/** Is told what becomes of the replica groups. Called on the host's thread. */
public interface GroupChangeListener {
  /** This process has committed another group of a shard that it owns. */
  void groupChanged(GroupChanged change);

  /** This process has founded the groups after a first start that was cut short. */
  default void groupsFounded(GroupsFounded founded) {}

  /** This process has known no group for some seconds. */
  default void groupMissing(GroupMissing missing) {}
}
