package nettletrail.emulator.actors;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import nettletrail.emulator.host.EmulatedDoorProcess;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;

/**
 * Simulated requests at one door, every 20 ms. They use the active configuration, all keys of
 * former and present configurations, quota and a backend, and report the results to an observer.
 */
public final class DoorTraffic {
  private static final long PERIOD = 20 * VirtualTime.MILLISECOND;

  private final EmulatedDoorProcess door;
  private final BooleanSupplier stable;
  private final ClientObserver observer;
  private final SplittableRandom random;
  private final long tokensPerRequest;
  private final Set<String> keysSeen = new HashSet<>();
  private double requestsPerPeriod;
  private long tokensAdmitted;

  /**
   * Starts requests that last as long as the door's process.
   *
   * @param stable tells if the limits on time hold for the door now
   * @param tokensPerSecond the load of all requests together
   * @param tokensPerRequest the mean size of a request
   */
  public DoorTraffic(
      EmulatedDoorProcess door,
      BooleanSupplier stable,
      ClientObserver observer,
      SplittableRandom random,
      double tokensPerSecond,
      long tokensPerRequest) {
    this.door = door;
    this.stable = stable;
    this.observer = observer;
    this.random = random;
    this.tokensPerRequest = tokensPerRequest;
    setLoad(tokensPerSecond);
    door.incarnation().after(PERIOD, this::period);
  }

  /** Sets the load in tokens per second. */
  public void setLoad(double tokensPerSecond) {
    requestsPerPeriod = tokensPerSecond / tokensPerRequest * PERIOD / VirtualTime.SECOND;
  }

  /** The total of tokens that the door has admitted. */
  public long tokensAdmitted() {
    return tokensAdmitted;
  }

  private void period() {
    if (door.table() != null) {
      useConfiguration();
      useKeys();
      useQuota();
      useBackend();
    }
    door.incarnation().after(PERIOD, this::period);
  }

  private void useConfiguration() {
    int changeId = ChangeDocument.changeIdOf(door.table());
    observer.configurationUsed(door.name(), stable.getAsBoolean(), changeId);
  }

  private void useKeys() {
    keysSeen.addAll(ChangeDocument.keysOf(door.table()));
    for (String key : keysSeen) {
      if (door.keysValid() && door.table().tenantOfKey(key) != null) {
        observer.keyAccepted(door.name(), key);
      }
    }
  }

  private void useQuota() {
    double requests = requestsPerPeriod > 0 ? requestsPerPeriod + random.nextDouble() : 0;
    for (int request = 1; request <= requests; request++) {
      long tokens = 1 + random.nextLong(2 * tokensPerRequest);
      if (door.takeQuota(ChangeDocument.TENANT, tokens)) {
        tokensAdmitted += tokens;
        observer.quotaUsed(tokens);
      }
    }
  }

  private void useBackend() {
    List<Backend> ready =
        door.backends(ChangeDocument.SERVICE).stream()
            .filter(backend -> backend.getState() == BackendState.READY)
            .toList();
    if (!ready.isEmpty()) {
      Backend backend = ready.get(random.nextInt(ready.size()));
      observer.backendUsed(door.name(), stable.getAsBoolean(), backend.getId());
    }
  }
}
