package nettletrail.emulator.actors;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import nettletrail.emulator.host.DoorProcess;
import nettletrail.emulator.simulation.VirtualTime;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;

/**
 * Requests at one door: each asks the door for its configuration, whether a key counts, for quota
 * and for a backend, and tells what it was given. Keys of all former configurations are tried too.
 */
public final class DoorTraffic {
  private static final long PERIOD = 20 * VirtualTime.MILLISECOND;

  private final DoorProcess door;
  private final BooleanSupplier stable;
  private final ClientObserver observations;
  private final SplittableRandom random;
  private final long tokensPerRequest;
  private final Set<String> keysSeen = new HashSet<>();
  private double requestsPerPeriod;
  private long tokensAdmitted;

  /**
   * Traffic that lasts as long as the door's process.
   *
   * @param stable whether bounds hold for the door at this moment
   * @param tokensPerSecond what all requests of a second want
   * @param tokensPerRequest what one request wants on average
   */
  public DoorTraffic(
      DoorProcess door,
      BooleanSupplier stable,
      ClientObserver observations,
      SplittableRandom random,
      double tokensPerSecond,
      long tokensPerRequest) {
    this.door = door;
    this.stable = stable;
    this.observations = observations;
    this.random = random;
    this.tokensPerRequest = tokensPerRequest;
    setLoad(tokensPerSecond);
    door.incarnation().after(PERIOD, this::period);
  }

  /** Changes how many tokens all requests of a second want. */
  public void setLoad(double tokensPerSecond) {
    requestsPerPeriod = tokensPerSecond / tokensPerRequest * PERIOD / VirtualTime.SECOND;
  }

  /** Tokens that the door has given in all. */
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
    observations.configurationUsed(door.name(), stable.getAsBoolean(), changeId);
  }

  private void useKeys() {
    keysSeen.addAll(ChangeDocument.keysOf(door.table()));
    for (String key : keysSeen) {
      if (door.keysValid() && door.table().tenantOfKey(key) != null) {
        observations.keyAccepted(door.name(), key);
      }
    }
  }

  private void useQuota() {
    double requests = requestsPerPeriod > 0 ? requestsPerPeriod + random.nextDouble() : 0;
    for (int request = 1; request <= requests; request++) {
      long tokens = 1 + random.nextLong(2 * tokensPerRequest);
      if (door.takeQuota(ChangeDocument.TENANT, tokens)) {
        tokensAdmitted += tokens;
        observations.quotaUsed(tokens);
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
      observations.backendUsed(door.name(), stable.getAsBoolean(), backend.getId());
    }
  }
}
