package nettletrail.emulator.host;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import nettletrail.control.host.CoreCallers;
import nettletrail.control.registry.RegistryAction.AnswerBackend;
import nettletrail.control.shard.CoreAction.AnswerOperator;
import nettletrail.emulator.simulation.Connection;
import nettletrail.emulator.simulation.Payload;

/** The connections of operators and backends to one core process, with their open calls. */
final class SimulatedCallers implements CoreCallers {
  /** Takes calls. */
  interface CallHandler {
    /** A request came; it may be answered under this number. */
    void handle(long call, ControlRequest request);
  }

  private static final String EMPTY_BODY = "";
  private static final int UNAVAILABLE = 503;

  private final CallHandler handler;
  private final SendQueue sendQueue;
  private final Map<Long, Connection> connectionsByCall = new HashMap<>();
  private long lastCall;

  SimulatedCallers(CallHandler handler, SendQueue sendQueue) {
    this.handler = handler;
    this.sendQueue = sendQueue;
  }

  /** Takes the calls of a new connection until it closes. */
  void accept(Connection connection) {
    connection.setListener(
        new Connection.Listener() {
          @Override
          public void received(Payload payload) {
            open(connection, (ControlRequest) payload);
          }

          @Override
          public void closed() {
            connectionsByCall.values().remove(connection);
          }
        });
  }

  private void open(Connection connection, ControlRequest request) {
    lastCall++;
    connectionsByCall.put(lastCall, connection);
    handler.handle(lastCall, request);
  }

  @Override
  public void answerOperator(AnswerOperator answer) {
    String body = new String(answer.body(), StandardCharsets.UTF_8);
    sendQueue.add(
        () -> answer(answer.call(), new ControlResponse(answer.status(), body)),
        () -> answer(answer.call(), new ControlResponse(UNAVAILABLE, EMPTY_BODY)),
        answer.validUntil());
  }

  @Override
  public void answerBackend(AnswerBackend answer) {
    sendQueue.add(() -> answer(answer.call(), new ControlResponse(answer.status(), EMPTY_BODY)));
  }

  private void answer(long call, ControlResponse response) {
    Connection connection = connectionsByCall.remove(call);
    if (connection != null) {
      connection.send(response);
    }
  }
}
