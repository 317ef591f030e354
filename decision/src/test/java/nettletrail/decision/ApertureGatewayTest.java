package nettletrail.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import nettletrail.decision.Gateway.AttemptReport;
import nettletrail.decision.Gateway.Backend;
import nettletrail.decision.Gateway.DedupScope;
import nettletrail.decision.Gateway.DiscoveryState;
import nettletrail.decision.Gateway.Idempotency;
import nettletrail.decision.Gateway.Outcome;
import nettletrail.decision.Gateway.Plan;
import nettletrail.decision.Gateway.Request;
import nettletrail.decision.Gateway.RequestClass;
import nettletrail.decision.Gateway.Settings;
import org.junit.jupiter.api.Test;

/** Which calls the delegate of an aperture receives, and where its requests are sent. */
class ApertureGatewayTest {
  private static final long SECOND = 1_000_000_000L;
  private static final ApertureSettings SMALL = new ApertureSettings(true, 4, 2);

  /** Records the calls with their arguments. */
  private static final class RecordedCalls implements Gateway {
    final List<String> calls = new ArrayList<>();

    @Override
    public void onBackends(long now, boolean whole, List<Backend> entries) {
      calls.add("onBackends " + now + " " + whole + " " + entries);
    }

    @Override
    public void onGatewaysPerBackend(long now, double gateways) {
      calls.add("onGatewaysPerBackend " + now + " " + gateways);
    }

    @Override
    public void onDiscoveryFailure(long now) {
      calls.add("onDiscoveryFailure " + now);
    }

    @Override
    public void onRequest(long now, Request request) {
      calls.add("onRequest " + now + " " + request);
    }

    @Override
    public void onAttemptEnd(long now, AttemptReport answer) {
      calls.add("onAttemptEnd " + now + " " + answer);
    }

    @Override
    public void onRequestCancelled(long now, long requestId) {
      calls.add("onRequestCancelled " + now + " " + requestId);
    }

    @Override
    public void onTimer(long now, int token) {
      calls.add("onTimer " + now + " " + token);
    }
  }

  private static Settings settings(int gateways) {
    return new Settings(
        gateways,
        0,
        7,
        1_000_000,
        4,
        false,
        0.17,
        17 * SECOND,
        3,
        3 * SECOND / 2,
        0,
        0,
        List.of(new RequestClass(SECOND, 1, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0)),
        List.of(new Plan(0, 0, 0, 0, 0, 0, 0, 0, 1)));
  }

  private static Backend backend(long id, DiscoveryState state, long startedAt) {
    return new Backend(id, (int) (id % 3), 0, 0, state, 1, startedAt);
  }

  private static List<Backend> ready(int count) {
    return IntStream.rangeClosed(1, count)
        .mapToObj(id -> backend(id, DiscoveryState.READY, 0))
        .toList();
  }

  private static void sendEvents(Gateway gateway, int backends) {
    gateway.onBackends(1, false, ready(2));
    gateway.onBackends(1, true, ready(backends));
    gateway.onBackends(2, false, List.of());
    gateway.onRequest(3, new Request(1, 0, 0, 9, 1, 1, SECOND));
    gateway.onBackends(
        4,
        false,
        List.of(
            backend(3, DiscoveryState.DRAINING, 0),
            backend(3, DiscoveryState.GONE, 0),
            backend(77, DiscoveryState.GONE, 0),
            backend(3, DiscoveryState.READY, 4),
            backend(3, DiscoveryState.READY, 4)));
    gateway.onAttemptEnd(5, new AttemptReport(1, 0, 2, Outcome.OK, true, 1, -1, 0, null));
    gateway.onDiscoveryFailure(6);
    gateway.onRequestCancelled(7, 1);
    gateway.onTimer(8, 1);
    gateway.onBackends(9, true, List.of());
  }

  @Test
  void passesCallsThroughUnchangedUpToMinBackends() {
    for (int index = 0; index < 40; index += 13) {
      RecordedCalls without = new RecordedCalls();
      sendEvents(without, 256);
      RecordedCalls with = new RecordedCalls();
      Gateway gateway = ApertureGateway.wrap(with, settings(40), index, ApertureSettings.DEFAULT);
      assertInstanceOf(ApertureGateway.class, gateway);
      sendEvents(gateway, 256);
      assertEquals(without.calls, with.calls);
    }
  }

  @Test
  void returnsTheDelegateWhereAnApertureHasNoEffect() {
    RecordedCalls module = new RecordedCalls();
    assertSame(module, ApertureGateway.wrap(module, settings(40), 3, ApertureSettings.OFF));
    assertSame(module, ApertureGateway.wrap(module, settings(40), -1, ApertureSettings.DEFAULT));
    assertSame(module, ApertureGateway.wrap(module, settings(40), 40, ApertureSettings.DEFAULT));
    assertSame(module, ApertureGateway.wrap(module, settings(8), 3, ApertureSettings.DEFAULT));
    assertNotSame(module, ApertureGateway.wrap(module, settings(9), 8, ApertureSettings.DEFAULT));
  }

  @Test
  void reportsGatewaysPerBackendBeforeTheList() {
    RecordedCalls recorded = new RecordedCalls();
    Gateway gateway = ApertureGateway.wrap(recorded, settings(10), 0, SMALL);
    gateway.onBackends(5, true, ready(4));
    gateway.onBackends(6, true, ready(60));
    gateway.onBackends(7, true, ready(60));
    gateway.onBackends(8, true, ready(4));
    assertEquals(
        List.of(
            "onBackends 5",
            "onGatewaysPerBackend 6 2.0",
            "onBackends 6",
            "onBackends 7",
            "onGatewaysPerBackend 8 10.0",
            "onBackends 8"),
        recorded.calls.stream()
            .map(each -> each.startsWith("onBackends") ? each.substring(0, 12) : each)
            .toList());
  }

  @Test
  void doesNotReportChangesOutsideTheSubset() {
    RecordedCalls recorded = new RecordedCalls();
    Gateway gateway = ApertureGateway.wrap(recorded, settings(10), 0, SMALL);
    Aperture same = new Aperture(SMALL, 10, 0, false);
    gateway.onBackends(5, true, ready(60));
    same.listed(true, ready(60));
    Backend outside =
        ready(60).stream().filter(each -> !same.subset().contains(each)).findFirst().orElseThrow();
    recorded.calls.clear();
    gateway.onBackends(6, false, List.of(backend(outside.id(), DiscoveryState.DRAINING, 0)));
    gateway.onBackends(7, false, List.of(backend(outside.id(), DiscoveryState.READY, 7)));
    assertEquals(List.of(), recorded.calls);
  }

  /**
   * An entry in the subset is passed on as listed, also cold or draining; one that leaves the list
   * is reported as gone.
   */
  @Test
  void passesEntriesOfTheSubsetThroughUnchanged() {
    RecordedCalls recorded = new RecordedCalls();
    Gateway gateway = ApertureGateway.wrap(recorded, settings(10), 0, SMALL);
    Aperture same = new Aperture(SMALL, 10, 0, false);
    gateway.onBackends(5, true, ready(60));
    same.listed(true, ready(60));
    long id = same.subset().get(0).id();
    for (Backend entry :
        List.of(
            backend(id, DiscoveryState.READY, 123),
            backend(id, DiscoveryState.DRAINING, 123),
            backend(id, DiscoveryState.GONE, 123))) {
      recorded.calls.clear();
      gateway.onBackends(6, false, List.of(entry));
      assertTrue(recorded.calls.get(0).contains(entry.toString()), recorded.calls + "");
    }
  }

  // ---- With GatewayDecider
  // ----------------------------------------------------------------------------

  private static final class RecordedActions implements Gateway.Actions {
    final List<Long> sent = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();

    @Override
    public void send(long requestId, long backendId, long timeoutNanos) {
      sent.add(backendId);
    }

    @Override
    public void reject(long requestId, long retryAfterNanos) {
      rejected.add(requestId);
    }

    @Override
    public void fail(long requestId) {
      rejected.add(requestId);
    }

    @Override
    public void startTimer(int token, long ns) {}

    @Override
    public void subscribeBackends() {}

    @Override
    public void log(String line) {}
  }

  /**
   * Each response takes the typical latency that is assumed at first, so that no backend becomes
   * the favourite.
   */
  private static Set<Long> sends(Gateway gateway, RecordedActions actions, long from, int count) {
    actions.sent.clear();
    for (int i = 0; i < count; i++) {
      long now = from + i * SECOND / 100;
      gateway.onRequest(now, new Request(from + i, 0, 0, i % 50, 1, 1, SECOND));
      if (actions.sent.size() > i) {
        gateway.onAttemptEnd(
            now + SECOND / 1_000,
            new AttemptReport(
                from + i, 0, actions.sent.get(i), Outcome.OK, true, SECOND / 5, -1, 0, null));
      }
    }
    return new HashSet<>(actions.sent);
  }

  /**
   * All gateways together use all backends, each only its subset; a backend that left the subset
   * gets no new requests.
   */
  @Test
  void eachGatewaySendsToItsSubsetAndAllTogetherToAllBackends() {
    Set<Long> all = new HashSet<>();
    for (int index = 0; index < 10; index++) {
      RecordedActions actions = new RecordedActions();
      Gateway gateway =
          ApertureGateway.wrap(
              new GatewayDecider(settings(10), 1_000, actions), settings(10), index, SMALL);
      Aperture same = new Aperture(SMALL, 10, index, false);
      gateway.onBackends(1_000, true, ready(60));
      same.listed(true, ready(60));
      Set<Long> set = new HashSet<>(same.subset().stream().map(Backend::id).toList());
      Set<Long> used = sends(gateway, actions, 2_000, 600);
      assertEquals(600, actions.sent.size());
      assertEquals(set, used);
      all.addAll(used);
      List<Backend> gone = List.of(backend(set.iterator().next(), DiscoveryState.GONE, 0));
      gateway.onBackends(9 * SECOND, false, gone);
      same.listed(false, gone);
      assertEquals(
          new HashSet<>(same.subset().stream().map(Backend::id).toList()),
          sends(gateway, actions, 10 * SECOND, 600));
    }
    assertEquals(60, all.size());
  }

  // ---- Settings
  // ---------------------------------------------------------------------------------------

  @Test
  void readsIndexAndApertureFromTheSettings() {
    GatewaySettingsReader plain = new GatewaySettingsReader("Balancers=3\nIndex=2");
    assertEquals(2, plain.gatewayIndex());
    assertSame(
        ApertureSettings.DEFAULT.enabled(), plain.aperture(ApertureSettings.DEFAULT).enabled());
    assertEquals(ApertureSettings.DEFAULT, plain.aperture(ApertureSettings.DEFAULT));
    assertEquals(-1, new GatewaySettingsReader("Balancers=3").gatewayIndex());
    assertEquals(-1, new GatewaySettingsReader("Balancers=3\nIndex=3").gatewayIndex());
    assertEquals(-1, new GatewaySettingsReader("Balancers=3\nIndex=-1").gatewayIndex());
    assertEquals(
        new ApertureSettings(false, 6, 2),
        new GatewaySettingsReader(
                "Aperture.Enabled=false\nAperture.Least=6\nAperture.DoorsPerBackend=2")
            .aperture(ApertureSettings.DEFAULT));
    assertThrows(
        InvalidInputException.class,
        () -> new GatewaySettingsReader("Aperture.Enabled=no").aperture(ApertureSettings.OFF));
    assertThrows(
        IllegalArgumentException.class,
        () -> new GatewaySettingsReader("Aperture.Least=0").aperture(ApertureSettings.DEFAULT));
  }
}
