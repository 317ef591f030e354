package nettletrail.emulator.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections over the simulated network and machines. */
class NetworkTest {
  private static final String SERVER_ADDRESS = "10.0.0.2:7680";
  private static final long TIMEOUT = VirtualTime.SECOND;

  private final Simulation simulation = new Simulation(3, NetworkSettings.lossy(), 200);
  private final VirtualTime time = simulation.time();
  private final Network network = simulation.network();
  private final SimulatedMachine client = simulation.addMachine("client", "10.0.0.1", false);
  private final SimulatedMachine server = simulation.addMachine("server", "10.0.0.2", true);
  private final Recorder serverEnd = new Recorder();
  private final Recorder clientEnd = new Recorder();
  private Connection accepted;

  @BeforeEach
  void start() {
    client.start();
    listen();
  }

  @Test
  void deliversInOrder() {
    Connection connection = connect();
    for (int number = 0; number < 100; number++) {
      connection.send(new Number(number));
    }
    time.runFor(60 * VirtualTime.SECOND);
    List<Integer> once = serverEnd.numbers.stream().distinct().toList();
    List<Integer> sorted = once.stream().sorted().toList();
    assertEquals(100, once.size());
    assertEquals(sorted, once);
    assertTrue(serverEnd.numbers.size() > 100, "the lossy network delivers some twice");
  }

  @Test
  void holdsUpMessagesDuringAPartitionAndDeliversThemAfterwards() {
    Connection connection = connect();
    network.partitionOneWay(client, server);
    connection.send(new Number(1));
    accepted.send(new Number(2));
    time.runFor(10 * VirtualTime.SECOND);
    assertTrue(serverEnd.numbers.isEmpty());
    assertTrue(clientEnd.numbers.contains(2));
    network.healAllPartitions();
    time.runFor(VirtualTime.SECOND);
    assertTrue(serverEnd.numbers.contains(1));
  }

  @Test
  void losesHeldUpMessagesWhenTheConnectionIsReset() {
    Connection connection = connect();
    network.partition(client, server);
    connection.send(new Number(1));
    time.runFor(VirtualTime.SECOND);
    network.resetConnections(client);
    network.healAllPartitions();
    time.runFor(VirtualTime.SECOND);
    assertTrue(serverEnd.numbers.isEmpty());
    assertTrue(clientEnd.closed);
    assertTrue(serverEnd.closed);
  }

  @Test
  void notifiesThePeerOfAKillButNotOfALossOfPower() {
    connect();
    server.end(SimulatedMachine.End.KILL);
    time.runFor(VirtualTime.SECOND);
    assertTrue(clientEnd.closed);

    listen();
    clientEnd.closed = false;
    Connection connection = connect();
    server.end(SimulatedMachine.End.POWER_LOSS);
    time.runFor(10 * VirtualTime.SECOND);
    assertFalse(clientEnd.closed);

    listen();
    connection.send(new Number(1));
    time.runFor(VirtualTime.SECOND);
    assertTrue(clientEnd.closed, "the machine that is back knows no such connection");
  }

  @Test
  void refusesWhereNobodyListensAndHangsWhereNobodyIs() {
    server.end(SimulatedMachine.End.KILL);
    long before = time.now();
    assertNull(connectTo(SERVER_ADDRESS));
    assertTrue(time.now() - before < TIMEOUT);
    before = time.now();
    assertNull(connectTo("10.0.0.9:7680"));
    assertEquals(TIMEOUT, time.now() - before);
  }

  @Test
  void runsTheStepsOfAFrozenProcessAfterItsThaw() {
    Connection connection = connect();
    server.freeze();
    connection.send(new Number(1));
    time.runFor(5 * VirtualTime.SECOND);
    assertTrue(serverEnd.numbers.isEmpty());
    server.thaw();
    assertTrue(serverEnd.numbers.contains(1));
  }

  @Test
  void runsNoStepOfAProcessThatHasEnded() {
    List<String> steps = new ArrayList<>();
    server.incarnation().after(VirtualTime.SECOND, () -> steps.add("old incarnation"));
    server.end(SimulatedMachine.End.KILL);
    server.start().after(VirtualTime.SECOND, () -> steps.add("new incarnation"));
    time.runFor(2 * VirtualTime.SECOND);
    assertEquals(List.of("new incarnation"), steps);
  }

  @Test
  void clocksDriftAndOnlyTheTimeOfDayJumps() {
    MachineClock clock = server.clock();
    long steady = clock.steady();
    long timeOfDay = clock.timeOfDay();
    clock.stepTimeOfDay(2 * VirtualTime.SECOND);
    assertEquals(steady, clock.steady());
    assertEquals(timeOfDay + 2 * VirtualTime.SECOND, clock.timeOfDay());
    time.runFor(100 * VirtualTime.SECOND);
    long driftNanoseconds = Math.abs(clock.steady() - steady - 100 * VirtualTime.SECOND);
    assertTrue(driftNanoseconds > 0 && driftNanoseconds <= 20 * VirtualTime.MILLISECOND);
  }

  private void listen() {
    network.listen(
        server.start(),
        SERVER_ADDRESS,
        connection -> {
          accepted = connection;
          connection.setListener(serverEnd);
        });
  }

  private Connection connect() {
    Connection connection = connectTo(SERVER_ADDRESS);
    assertNotNull(connection);
    connection.setListener(clientEnd);
    return connection;
  }

  private Connection connectTo(String address) {
    Connection[] result = new Connection[1];
    boolean[] done = new boolean[1];
    network.connect(
        client.incarnation(),
        address,
        TIMEOUT,
        connection -> {
          result[0] = connection;
          done[0] = true;
        });
    while (!done[0] && time.runNext()) {
      continue;
    }
    return result[0];
  }

  private record Number(int value) implements Payload {}

  private static final class Recorder implements Connection.Listener {
    private final List<Integer> numbers = new ArrayList<>();
    private boolean closed;

    @Override
    public void received(Payload payload) {
      numbers.add(((Number) payload).value());
    }

    @Override
    public void closed() {
      closed = true;
    }
  }
}
