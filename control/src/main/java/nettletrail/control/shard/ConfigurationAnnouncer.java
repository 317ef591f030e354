package nettletrail.control.shard;

import nettletrail.protocol.ShardVersion;

/** Announces each newer committed configuration to the process, once. */
final class ConfigurationAnnouncer {

  private final ShardReplica replica;
  private final ConfigurationRegister register;
  private final ActionQueue actionQueue;
  private long announcedSequence;

  ConfigurationAnnouncer(
      ShardReplica replica, ConfigurationRegister register, ActionQueue actionQueue) {
    this.replica = replica;
    this.register = register;
    this.actionQueue = actionQueue;
  }

  /** Announces the newest committed configuration unless it or a newer one was announced. */
  void announceIfNewer() {
    ShardVersion committed = replica.committed();
    if (committed == null || committed.getSequence() <= announcedSequence) {
      return;
    }
    announcedSequence = committed.getSequence();
    ConfigurationState state = register.state();
    if (state.edition() > 0) {
      actionQueue.add(
          new CoreAction.CommittedConfiguration(
              announcedSequence, state.edition(), state.documentBytes(), state.storedDocument()));
    }
  }
}
