package nettletrail.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoopGroup;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import nettletrail.decision.Gateway;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.decision.GatewaySettingsReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Checks the order in which the dispatcher calls the authorizer, the limiter and the decision
 * module, and that each is called once.
 */
class DispatcherAuthorizationTest {
  private static final Authorizer.Denial DENIAL = new Authorizer.Denial(401, "Bearer", "no", 0);
  private static final String SETTINGS =
      "Services.count=1\nServices.0.Name=s\nServices.0.Aim=1000000000\n"
          + "Services.0.Effect=single_shot\nTiersOfService.count=1\nTiersOfService.0.Name=t";

  private final DefaultEventLoopGroup group = new DefaultEventLoopGroup(1);
  private final EventLoop loop = group.next();

  /** Every call that a part received, in order. */
  private final List<String> heard = new ArrayList<>();

  private final ByteBuf body = Unpooled.buffer().writeByte(1);
  private Authorizer.Decision word = new Authorizer.Pending();
  private Authorizer.AuthorizationCallback waiting;
  private Authorizer.RevocationListener withdrawn;
  private Gateway.Actions module;
  private BackendAttempt attempt;
  private Dispatcher dispatcher;

  @AfterEach
  void end() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class Door implements Authorizer {
    @Override
    public Decision authorize(
        long id, InboundRequest arrival, long leftNs, AuthorizationCallback listener) {
      heard.add("asked");
      waiting = listener;
      return word;
    }

    @Override
    public void requestEnded(long id, InboundRequest arrival) {
      heard.add("left");
    }

    @Override
    public void setRevocationListener(RevocationListener listener) {
      withdrawn = listener;
    }
  }

  private final class Module implements Gateway {
    @Override
    public void onBackends(long now, boolean whole, List<Backend> entries) {}

    @Override
    public void onDiscoveryFailure(long now) {}

    @Override
    public void onRequest(long now, Request request) {
      heard.add("module: arrived");
    }

    @Override
    public void onAttemptEnd(long now, AttemptReport answer) {
      heard.add("module: " + answer.outcome() + (answer.requestEnded() ? ", ended" : ""));
    }

    @Override
    public void onRequestCancelled(long now, long requestId) {
      heard.add("module: departed");
    }

    @Override
    public void onTimer(long now, int token) {}
  }

  private final class Asker implements RequestClient {
    @Override
    public void served(ByteBuf answer, String contentType) {
      heard.add("served");
    }

    @Override
    public void rejected(long retryAfterNs) {
      heard.add("refused");
    }

    @Override
    public void failed(int status) {
      heard.add("failed " + status);
    }

    @Override
    public void denied(Authorizer.Denial denial) {
      heard.add("denied");
    }
  }

  private final class Wire implements AttemptTransport {
    @Override
    public void endpointsUpdated(boolean whole, List<Endpoint> entries) {}

    @Override
    public StartedAttempt start(BackendAttempt started) {
      heard.add("sent");
      attempt = started;
      return new StartedAttempt() {
        @Override
        public boolean isUnsent() {
          return false;
        }

        @Override
        public Outcome cancel() {
          return Outcome.TIMED_OUT;
        }
      };
    }
  }

  private interface Step {
    void run() throws Exception;
  }

  private void onLoop(Step step) throws Exception {
    loop.submit(
            () -> {
              step.run();
              return null;
            })
        .get(10, TimeUnit.SECONDS);
  }

  private Dispatcher.ActiveRequest arrive(long remainingMs) {
    Wire wire = new Wire();
    RequestLimiter bound =
        new RequestLimiter() {
          @Override
          public boolean tryAcquire(InboundRequest arrival) {
            heard.add("bound: taken");
            return true;
          }

          @Override
          public void release(InboundRequest arrival) {
            heard.add("bound: given back");
          }
        };
    GatewaySettingsReader reader = new GatewaySettingsReader(SETTINGS);
    dispatcher =
        new Dispatcher(
            loop,
            new EventLoopClock(),
            new Door(),
            bound,
            List.of(wire),
            reader,
            reader.settings(1),
            (settings, now, actions) -> {
              module = actions;
              return new Module();
            });
    return dispatcher.accept(
        new InboundRequest(
            HttpMethod.POST,
            "/",
            "0000000000000001",
            0,
            0,
            1,
            1,
            1,
            remainingMs,
            body,
            Long.MAX_VALUE),
        new Asker(),
        wire);
  }

  private void heard(String... all) {
    assertEquals(List.of(all), heard);
  }

  private void over() {
    assertEquals(0, dispatcher.activeRequestCount());
    assertEquals(0, body.refCnt(), "its body is released");
  }

  @Test
  void limiterAndGatewaySeeARequestOnlyOnceItIsAuthorized() throws Exception {
    onLoop(
        () -> {
          arrive(3_000);
          heard("asked");
          waiting.allowed();
          heard("asked", "bound: taken", "module: arrived");
          module.reject(1, 0);
          heard("asked", "bound: taken", "module: arrived", "bound: given back", "refused");
          over();
        });
  }

  @Test
  void requestDeniedWhilePendingReachesNeitherLimiterNorGateway() throws Exception {
    onLoop(
        () -> {
          arrive(3_000);
          waiting.denied(DENIAL);
          heard("asked", "denied");
          over();
        });
  }

  @Test
  void requestDeniedImmediatelyReachesNeitherLimiterNorGateway() throws Exception {
    onLoop(
        () -> {
          word = DENIAL;
          assertTrue(arrive(3_000).isEnded());
          heard("asked", "denied");
          over();
        });
  }

  @Test
  void clientDisconnectWhilePendingRemovesTheRequest() throws Exception {
    onLoop(
        () -> {
          arrive(3_000).clientDisconnected();
          heard("asked", "left");
          over();
        });
  }

  @Test
  void deadlineWhilePendingFailsTheRequest() throws Exception {
    onLoop(() -> arrive(30));
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    boolean[] ended = new boolean[1];
    while (!ended[0] && System.nanoTime() < until) {
      onLoop(() -> ended[0] = dispatcher.activeRequestCount() == 0);
    }
    onLoop(
        () -> {
          heard("asked", "left", "failed 504");
          over();
        });
  }

  @Test
  void revocationDeniesARequestWithoutAnOpenAttempt() throws Exception {
    Predicate<InboundRequest> all = arrival -> true;
    onLoop(
        () -> {
          word = new Authorizer.Allowed();
          arrive(3_000);
          withdrawn.revoked(all, DENIAL);
          heard(
              "asked",
              "bound: taken",
              "module: arrived",
              "bound: given back",
              "denied",
              "module: departed");
          over();
          heard.clear();
          body.clear();
        });
  }

  @Test
  void revocationLeavesAnOpenAttemptRunning() throws Exception {
    onLoop(
        () -> {
          word = new Authorizer.Allowed();
          arrive(3_000);
          module.send(1, 7, 0);
          heard.clear();
          withdrawn.revoked(arrival -> true, DENIAL);
          heard();
          attempt.ended(Outcome.OK, BackendReport.NONE, Unpooled.EMPTY_BUFFER, null);
          heard("served", "module: OK, ended");
          over();
        });
  }

  @Test
  void deniedRetryIsNotSentAndFailsWhenAnEarlierAttemptMayHaveRun() throws Exception {
    onLoop(
        () -> {
          word = new Authorizer.Allowed();
          arrive(3_000);
          module.send(1, 7, 0);
          attempt.ended(Outcome.ERROR);
          heard.clear();
          word = DENIAL;
          module.send(1, 8, 0);
          assertTrue(
              heard.contains("failed 502") && !heard.contains("sent"), "it may have run: " + heard);
          assertEquals("module: NEVER_SENT, ended", heard.get(heard.size() - 1));
          over();
        });
  }

  @Test
  void deniedRetryAfterAFailedConnectIsReportedAsDenied() throws Exception {
    onLoop(
        () -> {
          word = new Authorizer.Allowed();
          arrive(3_000);
          module.send(1, 7, 0);
          attempt.ended(Outcome.CONNECT_FAILED);
          heard.clear();
          word = DENIAL;
          module.send(1, 8, 0);
          heard("asked", "denied", "bound: given back", "module: NEVER_SENT, ended");
          over();
        });
  }

  @Test
  void pendingRetryIsSentWhenAuthorizedAndCancelledOnTimeout() throws Exception {
    onLoop(
        () -> {
          word = new Authorizer.Allowed();
          arrive(3_000);
          module.send(1, 7, 0);
          attempt.ended(Outcome.CONNECT_FAILED);
          word = new Authorizer.Pending();
          heard.clear();
          module.send(1, 8, 0);
          heard("asked");
          waiting.allowed();
          heard("asked", "sent");
          attempt.ended(Outcome.CONNECT_FAILED);
          heard.clear();
          module.send(1, 9, 1_000_000);
        });
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    boolean[] ended = new boolean[1];
    while (!ended[0] && System.nanoTime() < until) {
      onLoop(() -> ended[0] = heard.size() == 3);
    }
    onLoop(() -> heard("asked", "left", "module: NEVER_SENT"));
  }
}
