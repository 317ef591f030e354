package nettletrail.fleet;

import java.nio.charset.StandardCharsets;
import nettletrail.control.host.CoreCallers;
import nettletrail.control.registry.RegistryAction.AnswerBackend;
import nettletrail.control.shard.CoreAction.AnswerOperator;
import nettletrail.fleet.http.ControlServer;

/** The callers of a core process's HTTP interface. On the event loop. */
final class CoreHttpCallers implements CoreCallers {
  private static final byte[] EMPTY_JSON = "{}".getBytes(StandardCharsets.UTF_8);

  private final ControlServer server;

  CoreHttpCallers(ControlServer server) {
    this.server = server;
  }

  @Override
  public void answerOperator(AnswerOperator answer) {
    server.answer(answer.call(), answer.status(), answer.body(), answer.validUntil());
  }

  @Override
  public void answerBackend(AnswerBackend answer) {
    server.answer(answer.call(), answer.status(), EMPTY_JSON);
  }
}
