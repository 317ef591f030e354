import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's address: asks each door every second whether it is ready, takes one out that
 * misses twice, and passes a new connection to a door of the client's zone by a hash of the client.
 * While fewer than half of a zone's doors are in it uses all of them; while none is, those that are
 * in elsewhere; and while there is none at all, all of the zone.
 */
final class Platform {
  private final Stage stage;
  private final Map<Stage.Machine, Integer> misses = new ConcurrentHashMap<>();

  Platform(Stage stage) {
    this.stage = stage;
    for (Stage.Machine door : stage.doors) {
      misses.put(door, 0);
      Backend.daemon(() -> probe(door));
    }
  }

  private void probe(Stage.Machine door) {
    while (true) {
      double next = Stage.seconds() + 1;
      boolean ready = stage.isReady(door);
      int before = misses.get(door);
      misses.put(door, ready ? 0 : before + 1);
      if (ready && before >= 2) {
        stage.note("platform: " + door.name + " is in again");
      } else if (!ready && before == 1) {
        stage.note("platform: " + door.name + " is out");
      }
      try {
        Thread.sleep(Math.max(1, (long) ((next - Stage.seconds()) * 1_000)));
      } catch (InterruptedException end) {
        return;
      }
    }
  }

  boolean isIn(Stage.Machine door) {
    return misses.get(door) < 2;
  }

  /** The door of a new connection. */
  Stage.Machine door(int client) {
    String zone = stage.doors.get(client % stage.doors.size()).zone;
    List<Stage.Machine> own = new ArrayList<>();
    List<Stage.Machine> in = new ArrayList<>();
    List<Stage.Machine> elsewhere = new ArrayList<>();
    for (Stage.Machine door : stage.doors) {
      if (door.zone.equals(zone)) {
        own.add(door);
        if (isIn(door)) {
          in.add(door);
        }
      } else if (isIn(door)) {
        elsewhere.add(door);
      }
    }
    List<Stage.Machine> used = 2 * in.size() >= own.size() && !in.isEmpty() ? in : own;
    if (in.isEmpty() && !elsewhere.isEmpty()) {
      used = elsewhere;
    }
    return used.get(client * 31 % used.size());
  }

  Http.Connection connect(int client) throws IOException {
    return new Http.Connection(door(client).ip, Stage.PUBLIC, 1_000);
  }
}
