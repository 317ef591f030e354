package nettletrail.door;

import java.io.IOException;
import nettletrail.core.FrontDoorExtensions;
import nettletrail.decision.InvalidInputException;
import nettletrail.sim.SimulatorAdapter;

/**
 * The command line: {@code serve} runs one front door on sockets, {@code adapter} runs instances of
 * the decision module for the simulator.
 */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws InterruptedException {
    String what = args.length == 1 ? args[0] : "";
    switch (what) {
      case "serve" -> FrontDoor.serve(System.getenv(), FrontDoorExtensions.NONE);
      case "adapter" -> adapt();
      default -> {
        System.err.println("usage: java -jar nettletrail.jar serve|adapter");
        System.exit(2);
      }
    }
  }

  private static void adapt() {
    try {
      new SimulatorAdapter(System.in, System.out).run();
    } catch (InvalidInputException | IOException e) {
      System.err.println("nettletrail: " + e.getMessage());
      System.exit(1);
    }
  }
}
