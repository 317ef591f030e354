package nettletrail.control.host;

import java.util.List;
import java.util.function.LongSupplier;
import nettletrail.control.CoreRegistry;
import nettletrail.control.registry.RegistryAction;
import nettletrail.control.shard.CoreAction;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.StoreOutcome;
import nettletrail.protocol.Backend;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.link.HelloMessages;
import nettletrail.protocol.link.LinkListener;
import nettletrail.protocol.link.Peer;
import org.apache.avro.specific.SpecificRecord;

/**
 * Runs the deciders of a core process: passes events to {@link CoreShards} and {@link
 * CoreRegistry}, and their actions, in the order given, to links, storage and callers. Decides
 * nothing itself. All calls come on one thread.
 */
public final class CoreHost implements LinkListener {
  /** How often {@link #tick} has to be called, in milliseconds. */
  public static final long TICK_MS = 50;

  private final CoreShards shards;
  private final CoreRegistry registry;
  private final LongSupplier steadyClock;
  private final CoreHostLinks links;
  private final CoreStorage storage;
  private final CoreCallers callers;
  private final CommittedConfigurations configurations;
  private final GroupChangeListener groupChanges;

  /**
   * A host; it does nothing before the first event.
   *
   * @param steadyClock in nanoseconds; read anew at each event and at each outcome of a write
   */
  public CoreHost(
      CoreShards shards,
      CoreRegistry registry,
      LongSupplier steadyClock,
      CoreHostLinks links,
      CoreStorage storage,
      CoreCallers callers,
      CommittedConfigurations configurations,
      GroupChangeListener groupChanges) {
    this.shards = shards;
    this.registry = registry;
    this.steadyClock = steadyClock;
    this.links = links;
    this.storage = storage;
    this.callers = callers;
    this.configurations = configurations;
    this.groupChanges = groupChanges;
  }

  // Links

  @Override
  public void up(Peer peer) {
    if (isDoor(peer)) {
      doorUp(peer.key());
    } else {
      coreUp(peer.key());
    }
  }

  /** Ignored while another link with the same peer is up. */
  @Override
  public void down(Peer peer) {
    if (links.isUp(peer.key())) {
      return;
    }
    if (isDoor(peer)) {
      doorDown(peer.key());
    } else {
      coreDown(peer.key());
    }
  }

  @Override
  public void received(Peer peer, SpecificRecord message) {
    if (isDoor(peer)) {
      receivedFromDoor(peer.key(), message);
    } else {
      receivedFromCore(peer.key(), message);
    }
  }

  private static boolean isDoor(Peer peer) {
    return peer.role().equals(HelloMessages.DOOR_ROLE);
  }

  /** A link with a door is up. */
  public void doorUp(String door) {
    perform(registry.doorUp(door, now()));
  }

  /** No link with a door is up any more. */
  public void doorDown(String door) {
    perform(registry.doorDown(door, now()));
  }

  /** A door sent a message. */
  public void receivedFromDoor(String door, SpecificRecord message) {
    if (message instanceof DoorHeartbeat heartbeat && heartbeat.getConfigurationSequence() > 0) {
      shards.configurationSeen();
    }
    perform(registry.receiveFromDoor(door, message, now()));
  }

  /** A link with another core process is up. */
  public void coreUp(String address) {
    links.coreLinkUp(address);
    perform(registry.coreUp(address, now()));
  }

  /** No link with another core process is up any more. */
  public void coreDown(String address) {
    perform(registry.coreDown(address, now()));
  }

  /** Another core process sent a message; the shards take it before the registry does. */
  public void receivedFromCore(String address, SpecificRecord message) {
    long now = now();
    run(shards.receive(address, message, now));
    perform(registry.receiveFromCore(address, message, now));
  }

  // Callers

  /**
   * An operator called; answered through {@link CoreCallers#answerOperator}.
   *
   * @param ifMatch the edition that the call builds on; empty if it names none
   * @param body empty for GET
   */
  public void operatorCall(long call, String method, String ifMatch, byte[] body) {
    run(shards.submit(call, method, ifMatch, body, now()));
  }

  /**
   * A backend called; answered through {@link CoreCallers#answerBackend}.
   *
   * @param method PUT or DELETE
   */
  public void backendCall(long call, String method, Backend backend) {
    perform(registry.backendCall(call, method, backend, now()));
  }

  // Time

  /** Does what time makes due: shards, then registry, then links to members. */
  public void tick() {
    long now = now();
    run(shards.tick(now));
    perform(registry.tick(now));
    links.followMembers(shards.members());
  }

  /**
   * Begins a graceful shutdown: the process leaves the groups that don't need it. It has to go on
   * until {@link #hasLeft}, for a limited time, and then {@link #release}.
   */
  public void leave() {
    run(shards.leave(now()));
  }

  /** True once there is nothing left to wait for before {@link #release}. */
  public boolean hasLeft() {
    return shards.hasLeft();
  }

  /** Gives all leases back; the process has to end afterwards. */
  public void release() {
    run(shards.release(now()));
  }

  // Actions

  private void run(List<CoreAction> actions) {
    for (CoreAction action : actions) {
      if (action instanceof CoreAction.Send send) {
        links.sendToCore(send.address(), send.message(), send.validUntil());
      } else if (action instanceof CoreAction.StorePromise promise) {
        storage.store(promise, outcome -> stored(promise.ticket(), outcome));
      } else if (action instanceof CoreAction.StoreVersion version) {
        storage.store(version, outcome -> stored(version.ticket(), outcome));
      } else if (action instanceof CoreAction.AnswerOperator answer) {
        callers.answerOperator(answer);
      } else if (action instanceof CoreAction.CommittedConfiguration committed) {
        committed(committed);
      } else if (action instanceof CoreAction.GroupChanged change) {
        groupChanges.groupChanged(change);
      } else if (action instanceof CoreAction.GroupsFounded founded) {
        groupChanges.groupsFounded(founded);
      } else if (action instanceof CoreAction.GroupMissing missing) {
        groupChanges.groupMissing(missing);
      }
    }
  }

  private void stored(long ticket, StoreOutcome outcome) {
    run(shards.stored(ticket, outcome, now()));
  }

  private void committed(CoreAction.CommittedConfiguration committed) {
    configurations
        .limits(committed)
        .ifPresent(
            limits ->
                perform(
                    registry.configurationCommitted(
                        committed.sequence(),
                        committed.edition(),
                        committed.storedDocument(),
                        limits,
                        now())));
  }

  private void perform(List<RegistryAction> actions) {
    for (RegistryAction action : actions) {
      if (action instanceof RegistryAction.SendToCore send) {
        links.sendToCore(send.address(), send.message(), CoreAction.ALWAYS);
      } else if (action instanceof RegistryAction.SendToDoor send) {
        links.sendToDoor(send.door(), send.message());
      } else if (action instanceof RegistryAction.StoreWithdrawals withdrawals) {
        storage.store(withdrawals, outcome -> withdrawalsStored(withdrawals, outcome));
      } else if (action instanceof RegistryAction.AnswerBackend answer) {
        callers.answerBackend(answer);
      }
    }
  }

  private void withdrawalsStored(
      RegistryAction.StoreWithdrawals withdrawals, StoreOutcome outcome) {
    perform(registry.withdrawalsStored(withdrawals.version(), outcome.stored(), now()));
  }

  private long now() {
    return steadyClock.getAsLong();
  }
}
