package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import nettletrail.protocol.ConfirmQuery;
import nettletrail.protocol.ConfirmReply;
import nettletrail.protocol.OrderForwardReply;
import nettletrail.protocol.VersionQuery;
import nettletrail.protocol.VersionReply;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;

/** The answers to two operators' requests across retries and changes of the owner. */
class OperatorRequestOutcomeTest {

  private static boolean isQuorumRead(SpecificRecord message) {
    return message instanceof ConfirmQuery
        || message instanceof ConfirmReply
        || message instanceof VersionQuery
        || message instanceof VersionReply;
  }

  @Test
  void givenWriteOfAFormerOwner_whenItLearnsTheNextOwnersVersion_thenItIsNotAcknowledged() {
    int cases = 0;
    for (long seed = 1; seed <= 40; seed++) {
      SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(seed, 3);
      SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
      SimulatedCore former = operator.awaitOwner();
      SimulatedCore follower = operator.followers().get(0);
      assertEquals(200, operator.put(follower, 0, "3 first"));
      cluster.isolate(former);
      cluster.runFor(millis(860));
      assertTrue(former.owns(0), "seed " + seed);
      AtomicReference<CoreAction.AnswerOperator> lost = operator.send(former, "PUT", "3", "5 lost");
      cluster.runUntil(() -> cluster.owner(0) == null, millis(1_000));
      operator.awaitOwner();
      AtomicReference<CoreAction.AnswerOperator> won = operator.send(follower, "PUT", "3", "4 won");
      cluster.runUntil(() -> won.get() != null, millis(300));
      boolean pendingAtTheFormerOwner = won.get() != null && lost.get() == null;
      cluster.heal();
      cluster.lose(message -> !isQuorumRead(message));
      cluster.runUntil(() -> former.announced.edition() == 4, millis(600));
      cases += pendingAtTheFormerOwner && former.announced.edition() == 4 ? 1 : 0;
      assertNotEquals(200, operator.await(lost).status(), "seed " + seed);
    }
    assertTrue(cases > 0, "in no run was the change pending when the next version came");
  }

  /**
   * Applies that many changes after edition 3, each at another machine; returns the last edition.
   */
  private static long applyChanges(
      SimulatedCluster cluster, SimulatedOperatorClient operator, int orders) {
    for (long edition = 4; edition < 4 + orders; edition++) {
      SimulatedCore core = cluster.core((int) (edition % cluster.cores().size()));
      assertEquals(200, operator.put(core, edition - 1, edition + " later"));
    }
    return 3 + orders;
  }

  @Test
  void givenHundredsOfLaterChanges_whenRequestsAreRetried_thenOnlyTheWinnerIsAcknowledged() {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(21, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    assertEquals(200, operator.put(cluster.core(0), 0, "3 winner"));
    assertEquals(412, operator.put(cluster.core(1), 0, "3 loser"));
    long last = applyChanges(cluster, operator, 600);
    operator.awaitOwner().crash();
    operator.awaitOwner();
    for (SimulatedCore core : cluster.runningCores()) {
      for (int repeat = 0; repeat < 3; repeat++) {
        assertEquals(200, operator.put(core, 0, "3 winner"));
        assertEquals(412, operator.put(core, 0, "3 loser"));
      }
      assertEquals(last + " later", operator.read(core));
    }
  }

  @Test
  void givenTwoOperatorsSendTheSameChange_whenConcurrent_thenBothAreAcknowledgedForOneChange() {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(22, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    AtomicReference<CoreAction.AnswerOperator> one =
        operator.send(cluster.core(0), "PUT", "0", "3 a");
    AtomicReference<CoreAction.AnswerOperator> two =
        operator.send(cluster.core(1), "PUT", "0", "3 a");
    for (AtomicReference<CoreAction.AnswerOperator> answer : List.of(one, two)) {
      assertEquals(200, operator.await(answer).status());
      assertEquals("3", answer.get().edition());
    }
    assertEquals(1, operator.awaitOwner().shards.configuration().changes().size());
  }

  @Test
  void givenPatchAndPutOfTheSameDocument_whenOneIsApplied_thenTheOtherIsRejected() {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(23, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    assertEquals(200, operator.put(cluster.core(0), 0, "3 first"));
    assertEquals(200, operator.patch(cluster.core(1), 3, "4 more"));
    assertEquals(412, operator.put(cluster.core(2), 3, "4 first more"));
    assertEquals(200, operator.put(cluster.core(2), 4, "5 next"));
    assertEquals(200, operator.patch(cluster.core(0), 3, "4 more"));
    assertEquals(412, operator.put(cluster.core(0), 3, "4 first more"));
  }

  @Test
  void givenRetryThatOvertakesTheFirstAttempt_whenBothArrive_thenTheChangeIsAppliedOnce() {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(24, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    SimulatedCore owner = operator.awaitOwner();
    SimulatedCore slow = operator.followers().get(0);
    SimulatedCore fast = operator.followers().get(1);
    slow.frozenUntil = cluster.now() + millis(800);
    AtomicReference<CoreAction.AnswerOperator> first = operator.send(slow, "PUT", "0", "3 once");
    assertEquals(200, operator.put(fast, 0, "3 once"));
    assertEquals(200, operator.put(fast, 3, "5 after it"));
    assertEquals("3", operator.await(first).edition());
    assertEquals("5 after it", operator.read(owner));
    assertEquals(2, owner.shards.configuration().changes().size());
  }

  @Test
  void givenOwnerCrashBetweenCommitAndAnswer_whenTheChangeIsRetried_thenItIsAcknowledged() {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(25, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    SimulatedCore owner = operator.awaitOwner();
    SimulatedCore other = operator.followers().get(0);
    cluster.lose(message -> message instanceof OrderForwardReply);
    AtomicReference<CoreAction.AnswerOperator> lost = operator.send(other, "PUT", "0", "3 lost");
    assertTrue(cluster.runUntil(() -> owner.shards.committedSequence() > 0, millis(500)));
    owner.crash();
    cluster.heal();
    assertEquals(503, operator.await(lost).status());
    operator.awaitOwner();
    assertEquals(412, operator.put(other, 0, "4 of the other operator"));
    assertEquals(200, operator.put(other, 0, "3 lost"));
    owner.start(cluster.seeds(), false);
    cluster.runFor(millis(2_500));
    assertEquals(200, operator.put(owner, 0, "3 lost"));
  }

  @Test
  void givenAnswersLostRepeatedly_whenOneArrives_thenTheChangeWasAppliedOnce() {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(26, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    List<SimulatedCore> followers = operator.followers();
    cluster.lose(message -> message instanceof OrderForwardReply);
    for (int repeat = 0; repeat < 10; repeat++) {
      assertEquals(503, operator.put(followers.get(repeat % 2), 0, "3 once"));
    }
    cluster.heal();
    assertEquals(200, operator.put(followers.get(0), 0, "3 once"));
    assertEquals(1, operator.awaitOwner().shards.configuration().changes().size());
  }

  @Test
  void givenRequestsQueuedBehindAWrite_whenItCommits_thenEachIsEvaluatedAfterIt() {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(27, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    SimulatedCore owner = operator.awaitOwner();
    List<AtomicReference<CoreAction.AnswerOperator>> answers = new ArrayList<>();
    answers.add(operator.send(owner, "PUT", "0", "3 first"));
    answers.add(operator.send(owner, "PUT", "0", "3 other"));
    answers.add(operator.send(owner, "PUT", "0", "3 first"));
    answers.add(operator.send(owner, "PATCH", "3", "5 more"));
    answers.add(operator.send(owner, "PUT", "3", "6 too late"));
    answers.add(operator.send(owner, "PUT", "0", "3 other"));
    answers.add(operator.send(owner, "GET", "", ""));
    answers.add(operator.send(owner, "PUT", "5", "4 not above"));
    List<Integer> statuses = new ArrayList<>();
    answers.forEach(answer -> statuses.add(operator.await(answer).status()));
    assertEquals(List.of(200, 412, 200, 200, 412, 412, 200, 400), statuses);
    assertEquals("5 first more", ClusterInvariants.text(answers.get(6).get().body()));
  }

  @Test
  void givenEightLargeConcurrentChanges_whenRepeatedAHundredTimes_thenOneIsAppliedEachTime() {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(28, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    String text = "x".repeat(100_000);
    for (long edition = 1; edition <= 100; edition++) {
      List<AtomicReference<CoreAction.AnswerOperator>> answers = new ArrayList<>();
      for (int number = 0; number < 8; number++) {
        String document = edition + " " + number + text;
        String ifMatch = Long.toString(edition - 1);
        answers.add(operator.send(cluster.core(number % 3), "PUT", ifMatch, document));
      }
      answers.forEach(operator::await);
      assertEquals(1, answers.stream().filter(answer -> answer.get().status() == 200).count());
      assertEquals(7, answers.stream().filter(answer -> answer.get().status() == 412).count());
    }
  }
}
