package nettletrail.control.host;

import nettletrail.control.shard.CoreAction.GroupChanged;

/** Is told of the changes of replica groups that this process has committed as their owner. */
@FunctionalInterface
public interface GroupChangeListener {
  /** A group has changed; called on the host's thread. */
  void groupChanged(GroupChanged change);
}
