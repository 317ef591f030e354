/** All processes of the core are killed just after the first start of the system: the core never takes a configuration. */
final class FirstStartCase {
  private FirstStartCase() {}

  public static void main(String[] arguments) {
    Stage.main(arguments[0], FirstStartCase::play);
  }

  private static int play(Stage stage) throws Exception {
    for (int i = 1; i <= 3; i++) {
      stage.machine("core-" + i, "core");
    }
    Stage.Machine door = stage.machine("door-1", "door");
    Stage.Machine[] cores = stage.cores.toArray(new Stage.Machine[0]);
    for (Stage.Machine core : cores) {
      stage.start(core, true);
    }
    stage.start(door, true);
    BackendServer backend = new BackendServer(stage, "i-1", "desk", 10);
    if (stage.trouble) {
      Thread.sleep(100);
      stage.kill(cores);
      Thread.sleep(500);
      for (Stage.Machine core : cores) {
        stage.start(core, false);
      }
    }
    backend.startCalling();
    // The operator keeps sending the first configuration; recover_s is 12, receipt_ms is 4,000.
    Stage.Reply reply = stage.change(stage.cores, "0", ReplacementCase.configuration(5, 400), 45_000);
    stage.note("operator: the first configuration, sent for up to 45 s: " + reply.status() + " " + reply.body());
    boolean ready = stage.awaitReady(door, 5_000);
    int served = ReplacementCase.requests(stage, door, 10);
    stage.note("door ready: " + ready + "; requests served: " + served + " of 10");
    return reply.status() != 200 && served == 0 ? Stage.BROKEN : Stage.HELD;
  }
}
