package nettletrail.control.host;

import nettletrail.control.registry.RegistryAction.AnswerBackend;
import nettletrail.control.shard.CoreAction.AnswerOperator;

/**
 * The operators and backends that called a core process. An answer to a call that its caller has
 * given up is dropped.
 */
public interface CoreCallers {
  /** Answers an operator's call. */
  void answerOperator(AnswerOperator answer);

  /** Answers a backend's call. */
  void answerBackend(AnswerBackend answer);
}
