package nettletrail.control.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import nettletrail.protocol.OrderForward;
import org.junit.jupiter.api.Test;

/** Which answers of other core processes are relayed to which calls. */
class OperatorRequestRouterTest {
  private static final String SELF = "10.0.0.1:7000";
  private static final String OWNER = "10.0.0.2:7000";
  private static final String NEXT_OWNER = "10.0.0.3:7000";
  private static final byte[] BODY = {};
  private static final long EDITION = 5;

  private final ShardSettings settings = ShardSettings.defaults();
  private final ActionQueue actionQueue = new ActionQueue(SELF);
  private final OperatorRequestRouter router =
      new OperatorRequestRouter(settings, actionQueue, 100);

  @Test
  void givenPendingCalls_whenAnswersArriveOutOfOrder_thenEachGoesToItsCall() {
    long first = forward(1, OWNER);
    long second = forward(2, OWNER);
    router.onReply(OWNER, OperatorResponses.applied(second, EDITION), CoreAction.ALWAYS);
    router.onReply(OWNER, OperatorResponses.unavailable(first, ""), CoreAction.ALWAYS);
    List<CoreAction.AnswerOperator> answers = answers();
    assertEquals(List.of(2L, 1L), answers.stream().map(CoreAction.AnswerOperator::call).toList());
    assertEquals(
        List.of(200, 503), answers.stream().map(CoreAction.AnswerOperator::status).toList());
  }

  @Test
  void givenPendingCall_whenAnotherProcessAnswersUnderItsNumber_thenTheAnswerIsIgnored() {
    long number = forward(1, OWNER);
    router.onReply(NEXT_OWNER, OperatorResponses.applied(number, EDITION), CoreAction.ALWAYS);
    assertTrue(answers().isEmpty());
    router.onReply(OWNER, OperatorResponses.applied(number, EDITION), CoreAction.ALWAYS);
    assertEquals(1, answers().size());
  }

  @Test
  void givenCallForwardedAgain_whenTheFormerOwnerAnswersToo_thenOnlyTheNewOwnersAnswerCounts() {
    long number = forward(1, OWNER);
    router.onReply(OWNER, OperatorResponses.notOwner(number), CoreAction.ALWAYS);
    router.tick(NEXT_OWNER, 1);
    assertEquals(number, forwarded(NEXT_OWNER).getCall());
    router.onReply(
        OWNER,
        OperatorResponses.rejected(number, OperatorResponses.PRECONDITION_FAILED, EDITION, ""),
        CoreAction.ALWAYS);
    assertTrue(answers().isEmpty());
    router.onReply(NEXT_OWNER, OperatorResponses.applied(number, EDITION), CoreAction.ALWAYS);
    assertEquals(200, answers().get(0).status());
  }

  @Test
  void givenCallThatTimedOut_whenItsAnswerArrives_thenTheAnswerIsIgnored() {
    long number = forward(1, OWNER);
    router.tick(OWNER, settings.requestTimeoutNanos());
    assertEquals(503, answers().get(0).status());
    long next = forward(2, OWNER);
    router.onReply(OWNER, OperatorResponses.applied(number, EDITION), CoreAction.ALWAYS);
    assertTrue(answers().isEmpty());
    router.onReply(OWNER, OperatorResponses.applied(next, EDITION), CoreAction.ALWAYS);
    assertEquals(2, answers().get(0).call());
  }

  @Test
  void givenRestart_whenAnAnswerToAnEarlierIncarnationArrives_thenItMatchesNoCall() {
    OperatorRequestRouter former = new OperatorRequestRouter(settings, actionQueue, 1 << 20);
    former.submit(1, "PUT", "3", BODY, OWNER, 0);
    long late = forwarded(OWNER).getCall();
    forward(1, OWNER);
    router.onReply(OWNER, OperatorResponses.applied(late, EDITION), CoreAction.ALWAYS);
    assertTrue(answers().isEmpty());
  }

  private long forward(long call, String owner) {
    router.submit(call, "PUT", "3", BODY, owner, 0);
    return forwarded(owner).getCall();
  }

  /** The only message sent, which must be a request forwarded to that process. */
  private OrderForward forwarded(String owner) {
    List<CoreAction> actions = actionQueue.drain();
    assertEquals(1, actions.size());
    CoreAction.Send send = (CoreAction.Send) actions.get(0);
    assertEquals(owner, send.address());
    return (OrderForward) send.message();
  }

  private List<CoreAction.AnswerOperator> answers() {
    List<CoreAction.AnswerOperator> answers = new ArrayList<>();
    actionQueue.drain().forEach(action -> answers.add((CoreAction.AnswerOperator) action));
    return answers;
  }
}
