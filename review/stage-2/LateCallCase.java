import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A backend has deregistered, all processes are killed at once and come back, and a call from before the end arrives seconds late:
 * the backend gets requests again, and those that it works on at its end are lost.
 */
final class LateCallCase {
  private static final String KEY = "haulier-key";
  private static final double DRAIN_S = 2.0;

  private LateCallCase() {}

  public static void main(String[] arguments) {
    Stage.main(arguments[0], LateCallCase::play);
  }

  private static int play(Stage stage) throws Exception {
    for (int i = 1; i <= 3; i++) {
      stage.machine("core-" + i, "core");
    }
    Stage.Machine first = stage.machine("door-1", "door");
    Stage.Machine second = stage.machine("door-2", "door");
    Stage.Machine[] all = {stage.cores.get(0), stage.cores.get(1), stage.cores.get(2), first, second};
    for (Stage.Machine machine : all) {
      stage.start(machine, true);
    }
    BackendServer stays = new BackendServer(stage, "i-stays", "desk", 300);
    BackendServer leaves = new BackendServer(stage, "i-leaves", "desk", 300);
    Stage.require(stage.change(stage.cores, "0", ReplacementCase.configuration(5, 400), 15_000).status() == 200, "no first configuration");
    stays.startCalling();
    leaves.startCalling();
    Stage.require(stage.awaitReady(first, 15_000) && stage.awaitReady(second, 15_000), "the doors are not ready");
    Thread.sleep(4_000);

    // The last call before the end is sent and held up on its way; it arrives seconds late.
    leaves.stopCalling();
    Thread.sleep(1_300);
    String late = leaves.registration("open_for_mail");
    Stage.require(leaves.send("DELETE", null), "the DELETE was not acknowledged");
    double acknowledgedAt = stage.seconds();
    stage.note("DELETE of i-leaves is acknowledged; it serves on for " + DRAIN_S + " s and many seconds longer");
    double startedAt = stage.seconds();
    if (stage.trouble) {
      Thread.sleep(500);
      stage.kill(all);
      Thread.sleep(700);
      for (Stage.Machine machine : all) {
        stage.start(machine, false);
      }
      startedAt = stage.seconds();
    }
    Thread.sleep(3_800);
    boolean arrived = leaves.sendTo(stage.cores.get(0), "PUT", late);
    stage.note("the call from before the DELETE arrives, " + String.format("%.1f", stage.seconds() - acknowledgedAt) + " s late: " + (arrived ? "200" : "not taken"));
    Stage.require(stage.awaitReady(first, 10_000) && stage.awaitReady(second, 10_000), "the doors did not come back");

    // Each machine is in touch contact_ms (3 s) after its start, or twice that where a fault took most of the core.
    Thread.sleep(Math.max(0, (long) (1000 * (startedAt + 6.2 - stage.seconds()))));
    stage.note("all machines are in touch");
    int before = leaves.runs.size();
    ExecutorService clients = Executors.newFixedThreadPool(8);
    List<Future<DoorClient.Answer>> answers = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      Stage.Machine door = i % 2 == 0 ? first : second;
      String path = "/desk/" + i;
      answers.add(clients.submit(() -> DoorClient.send(stage, door, path, KEY, 3_000)));
      Thread.sleep(60);
      if (i == 30) {
        stage.note("i-leaves ends");
        leaves.end();
      }
    }
    clients.shutdown();
    clients.awaitTermination(10, TimeUnit.SECONDS);
    int lost = 0;
    for (Future<DoorClient.Answer> answer : answers) {
      lost += answer.get().status() == 200 ? 0 : 1;
    }
    int tooLate = 0;
    for (BackendServer.Run run : leaves.runs.subList(before, leaves.runs.size())) {
      tooLate += run.at() - acknowledgedAt > DRAIN_S ? 1 : 0;
    }
    stage.note("requests that reached i-leaves over drain_ms after its acknowledged end: " + tooLate + "; requests of 40 not served: " + lost);
    stays.end();
    return tooLate > 0 ? Stage.BROKEN : Stage.HELD;
  }
}
