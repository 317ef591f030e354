package nettletrail.fleet;

import java.util.List;
import java.util.Locale;
import nettletrail.control.host.GroupChangeListener;
import nettletrail.control.shard.CoreAction.GroupChanged;
import nettletrail.control.shard.CoreAction.GroupMissing;
import nettletrail.control.shard.CoreAction.GroupsFounded;
import nettletrail.protocol.Member;
import nettletrail.protocol.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs what becomes of the replica groups, as far as this process decides it. One thread. */
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

  @Override
  public void groupsFounded(GroupsFounded founded) {
    LOG.warn(
        "{} the first start was cut short: the groups are founded by {}",
        LogEvent.GROUPS_FOUNDED,
        ids(founded.members()));
  }

  @Override
  public void groupMissing(GroupMissing missing) {
    LOG.warn(
        "{} no replica group is known; seeds without an answer: {}; the system was founded: {}",
        LogEvent.GROUP_MISSING,
        missing.silentSeeds(),
        missing.foundedElsewhere());
  }

  private static List<String> ids(List<Member> members) {
    return members.stream().map(Member::getId).toList();
  }
}
