package nettletrail.emulator.actors;

import java.util.function.Consumer;
import nettletrail.emulator.host.ControlRequest;
import nettletrail.emulator.host.ControlResponse;
import nettletrail.emulator.simulation.Connection;
import nettletrail.emulator.simulation.Network;
import nettletrail.emulator.simulation.Payload;
import nettletrail.emulator.simulation.SimulatedMachine;
import nettletrail.emulator.simulation.VirtualTime;

/** Makes calls to core processes, each on a connection of its own. */
final class ControlCaller {
  private static final long CONNECT_TIMEOUT = VirtualTime.SECOND;

  private final Network network;
  private final SimulatedMachine.Incarnation incarnation;
  private final long timeout;

  /**
   * @param timeout the response timeout, in nanoseconds
   */
  ControlCaller(Network network, SimulatedMachine.Incarnation incarnation, long timeout) {
    this.network = network;
    this.incarnation = incarnation;
    this.timeout = timeout;
  }

  /** Makes one call; passes on the response, or null if there is none. */
  void call(String address, ControlRequest request, Consumer<ControlResponse> done) {
    network.connect(
        incarnation,
        address,
        CONNECT_TIMEOUT,
        connection -> {
          if (connection == null) {
            done.accept(null);
          } else {
            new Call(connection, done).send(request);
          }
        });
  }

  private final class Call implements Connection.Listener {
    private final Connection connection;
    private final Consumer<ControlResponse> done;
    private boolean completed;

    Call(Connection connection, Consumer<ControlResponse> done) {
      this.connection = connection;
      this.done = done;
      connection.setListener(this);
    }

    void send(ControlRequest request) {
      connection.send(request);
      incarnation.after(timeout, () -> complete(null));
    }

    @Override
    public void received(Payload payload) {
      complete((ControlResponse) payload);
    }

    @Override
    public void closed() {
      complete(null);
    }

    private void complete(ControlResponse response) {
      if (!completed) {
        completed = true;
        connection.close();
        done.accept(response);
      }
    }
  }
}
