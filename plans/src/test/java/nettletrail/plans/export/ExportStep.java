package nettletrail.plans.export;

/** What may happen next in an {@link ExportSimulation}. */
enum ExportStep {
  BEGIN,
  USE,
  FAIL,
  COMMIT_A,
  COMMIT_B,
  DELIVER_A,
  DELIVER_B,
  LOSE_A,
  LOSE_B,
  REPEAT_A,
  REPEAT_B,
  ANSWER_A,
  ANSWER_B,
  LATE,
  DIE_A,
  POWER,
  DIE_B,
  ADOPT,
  FORGET
}
