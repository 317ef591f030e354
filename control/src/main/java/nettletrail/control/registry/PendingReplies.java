package nettletrail.control.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.LongPredicate;
import nettletrail.protocol.RegistryUpdateReply;

/**
 * Updates of other core processes that are acknowledged once the withdrawals in them are durable
 * here. Bounded: the oldest one is dropped without a reply, which its sender repeats. Not
 * thread-safe.
 */
public final class PendingReplies {
  private static final int MAX_PENDING = 256;

  private final String self;
  private final Deque<Reply> pending = new ArrayDeque<>();

  private record Reply(String peer, long update, long version) {}

  /** {@code self}: this process's address. */
  public PendingReplies(String self) {
    this.self = self;
  }

  /** An update of a peer is acknowledged once this version of the withdrawals is durable. */
  public void add(String peer, long update, long version) {
    pending.addLast(new Reply(peer, update, version));
    if (pending.size() > MAX_PENDING) {
      pending.removeFirst();
    }
  }

  /** The link to a peer is down: its updates are sent again on the next link. */
  public void linkDown(String peer) {
    pending.removeIf(reply -> reply.peer().equals(peer));
  }

  /** Removes and returns the replies whose version is durable, in the order of the updates. */
  public List<RegistryAction> due(LongPredicate isDurable) {
    List<RegistryAction> due = new ArrayList<>();
    for (Iterator<Reply> iterator = pending.iterator(); iterator.hasNext(); ) {
      Reply reply = iterator.next();
      if (isDurable.test(reply.version())) {
        RegistryUpdateReply message = new RegistryUpdateReply(self, reply.update());
        due.add(new RegistryAction.SendToCore(reply.peer(), message));
        iterator.remove();
      }
    }
    return due;
  }
}
