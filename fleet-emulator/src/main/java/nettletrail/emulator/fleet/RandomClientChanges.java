package nettletrail.emulator.fleet;

import java.util.List;
import java.util.SplittableRandom;
import nettletrail.emulator.actors.BackendActor;
import nettletrail.emulator.actors.ChangeDocument;

/** Random changes of the backends and of the load at the doors. */
final class RandomClientChanges {
  private static final int CLOSES_PER_CRASH = 2;

  /** Loads at one door, as multiples of its share of the limit. */
  private static final double[] LOADS = {0, 0.5, 2, 4};

  private final EmulatedFleet fleet;
  private final SplittableRandom random;

  RandomClientChanges(RandomFaultContext context) {
    this.fleet = context.fleet();
    this.random = context.random();
  }

  /** Adds a backend while fewer than two serve; otherwise closes or crashes one. */
  void changeBackends() {
    List<BackendActor> serving =
        fleet.backends().stream()
            .filter(backend -> backend.stage() == BackendActor.Stage.SERVING)
            .toList();
    if (serving.size() < 2) {
      fleet.addBackend();
      return;
    }
    BackendActor backend = serving.get(random.nextInt(serving.size()));
    if (random.nextInt(CLOSES_PER_CRASH + 1) == 0) {
      backend.crash();
    } else {
      backend.close();
    }
  }

  void changeLoad() {
    double share = ChangeDocument.RATE_PER_SECOND / (double) fleet.doors().size();
    for (DoorMachine door : fleet.doors()) {
      if (door.traffic() != null) {
        door.traffic().setLoad(share * LOADS[random.nextInt(LOADS.length)]);
      }
    }
  }
}
