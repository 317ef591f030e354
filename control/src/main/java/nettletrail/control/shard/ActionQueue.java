package nettletrail.control.shard;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import org.apache.avro.specific.SpecificRecord;

/**
 * Collects the {@link CoreAction}s of one event, in order. Messages to this process itself go to a
 * loopback queue instead and are handled within the same event.
 */
final class ActionQueue {

  private final String selfAddress;
  private final Deque<LoopbackMessage> loopback = new ArrayDeque<>();
  private List<CoreAction> actions = new ArrayList<>();
  private long lastTicket;

  /** A message to this process itself; valid as {@link CoreAction.Send} says. */
  record LoopbackMessage(SpecificRecord message, long validUntil) {}

  ActionQueue(String selfAddress) {
    this.selfAddress = selfAddress;
  }

  /** Sends a message that holds however late it leaves. */
  void send(String address, SpecificRecord message) {
    sendUntil(address, message, CoreAction.ALWAYS);
  }

  /** Sends a message that must not leave at or after an instant. */
  void sendUntil(String address, SpecificRecord message, long validUntil) {
    if (address.equals(selfAddress)) {
      loopback.add(new LoopbackMessage(message, validUntil));
    } else {
      actions.add(new CoreAction.Send(address, message, validUntil));
    }
  }

  /** Stores a promise; returns the ticket with which its outcome is reported. */
  long storePromise(int shard, ProposalNumber proposal) {
    lastTicket++;
    actions.add(new CoreAction.StorePromise(lastTicket, shard, proposal));
    return lastTicket;
  }

  /** Stores a version; returns the ticket with which its outcome is reported. */
  long storeVersion(int shard, ShardVersion version) {
    lastTicket++;
    actions.add(new CoreAction.StoreVersion(lastTicket, shard, version));
    return lastTicket;
  }

  /** Adds an action that is neither a message nor a storage operation. */
  void add(CoreAction action) {
    actions.add(action);
  }

  /** The next message that this process sent to itself, or null. */
  LoopbackMessage pollLoopback() {
    return loopback.poll();
  }

  boolean hasLoopback() {
    return !loopback.isEmpty();
  }

  /** Removes and returns the collected actions; loopback messages stay. */
  List<CoreAction> drain() {
    List<CoreAction> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }
}
