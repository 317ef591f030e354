package nettletrail.fleet;

import java.util.Locale;
import nettletrail.control.host.GroupChangeListener;
import nettletrail.control.shard.CoreAction.GroupChanged;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each change of a replica group that this process has committed. One thread. */
final class LoggedGroupChanges implements GroupChangeListener {
  private static final Logger LOG = LoggerFactory.getLogger(LoggedGroupChanges.class);

  @Override
  public void groupChanged(GroupChanged change) {
    LOG.info(
        "{} shard {}: {} {}, {} members",
        LogEvent.GROUP_CHANGED,
        change.shard(),
        change.member(),
        change.kind().name().toLowerCase(Locale.ROOT),
        change.size());
  }
}
