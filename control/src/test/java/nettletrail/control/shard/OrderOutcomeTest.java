package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicReference;
import nettletrail.protocol.ConfirmQuery;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.VersionQuery;
import nettletrail.protocol.VersionReply;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;

/** What two operators hear of their orders when the owner changes under them. */
class OrderOutcomeTest {

  private static boolean isQuorumRead(SpecificRecord message) {
    return message instanceof ConfirmQuery
        || message instanceof ConfirmReply
        || message instanceof VersionQuery
        || message instanceof VersionReply;
  }

  @Test
  void givenWriteOfAFormerOwner_whenItLearnsOfTheNextOwnersVersion_thenItConfirmsNothing() {
    int cases = 0;
    for (long seed = 1; seed <= 40; seed++) {
      SimulatedCluster cluster = OperatorCalls.settledCluster(seed, 3);
      OperatorCalls operator = new OperatorCalls(cluster);
      SimulatedCore former = operator.awaitOwner();
      SimulatedCore follower = operator.followers().get(0);
      assertEquals(200, operator.put(follower, 0, "3 first"));
      cluster.isolate(former);
      cluster.runFor(millis(860));
      assertTrue(former.owns(0), "seed " + seed);
      AtomicReference<CoreAction.AnswerOrder> lost = operator.send(former, "PUT", "3", "5 lost");
      cluster.runUntil(() -> cluster.owner(0) == null, millis(1_000));
      operator.awaitOwner();
      AtomicReference<CoreAction.AnswerOrder> won = operator.send(follower, "PUT", "3", "4 won");
      cluster.runUntil(() -> won.get() != null, millis(300));
      boolean openAtTheFormerOwner = won.get() != null && lost.get() == null;
      cluster.heal();
      cluster.lose(message -> !isQuorumRead(message));
      cluster.runUntil(() -> former.announced.edition() == 4, millis(600));
      cases += openAtTheFormerOwner && former.announced.edition() == 4 ? 1 : 0;
      assertNotEquals(200, operator.await(lost).status(), "seed " + seed);
    }
    assertTrue(cases > 0, "in no run did the order still wait when the next version came");
  }
}
