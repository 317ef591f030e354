package nettletrail.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettletrail.core.Dispatcher;
import nettletrail.core.SettingsSection;
import nettletrail.decision.Gateway;
import nettletrail.door.FrontDoor;
import nettletrail.door.FrontDoorConfig;
import nettletrail.proxy.StandInProxy;
import nettletrail.site.StandInAgent;

/**
 * A front door with an external processor on loopback, with the real decision module or a scripted
 * one.
 */
final class ExtProcTestServer implements AutoCloseable {
  static final String SETTINGS =
      """
            {"Balancers":1,"Ceilings":{"ConnIdle":30000000000,"ConnectTimeout":250000000,"MaxAttempts":3},
             "Dcs":["a"],"Discovery":"push","FamilyInfo":{"MostUnits":6},"Flavors":["m1"],
             "Obligations":{"ColdFrom":0.25,"RampTime":60000000000,"OverloadFactor":2.0,"Fall":2000000000},
             "Report":{"Fields":["cpu_share","pending"],"How":"inline"},
             "Services":[{"Aim":750000000,"Effect":"free","Name":"order-status"},
                         {"Aim":750000000,"Effect":"single_shot","Name":"order-submit"}],
             "TiersOfService":[{"Name":"standard","PerSecond":10000,"Burst":10000},
                         {"Name":"business","PerSecond":10000,"Burst":10000,"NeverOverRate":20,"HardBurst":30,"HardSlack":10}],
             "Zone":0}""";

  final NioEventLoopGroup group = new NioEventLoopGroup(1);
  final StandInAgent agent = new StandInAgent(group);
  private final List<ManagedChannel> channels = new ArrayList<>();
  private final Path folder;
  private final Map<String, Object> values = new LinkedHashMap<>();
  private ExtProcServer front;
  private FrontDoor door;

  ExtProcTestServer(Path folder) {
    this.folder = folder;
    values.put("listen", "127.0.0.1:0");
    values.put("http_listen", "127.0.0.1:0");
  }

  /** Sets a key of the operator file. */
  ExtProcTestServer with(String key, Object value) {
    values.put(key, value);
    return this;
  }

  ExtProcTestServer start(Dispatcher.GatewayFactory module) throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(
        file,
        "{\"name\":\"n0\",\"discovery\":\"127.0.0.1:0\",\"seed\":\"77\",\"limits\":{\"sockets\":1024},"
            + "\"known\":"
            + agent.list(-1)
            + ",\"settings\":"
            + SETTINGS
            + "}");
    FrontDoorConfig config =
        FrontDoorConfig.read(
            Map.of(
                "EDGE_NAME",
                "n0",
                "EDGE_LISTEN",
                "127.0.0.1:0",
                "EDGE_DISCOVERY",
                "127.0.0.1:" + agent.address().getPort(),
                "EDGE_CONFIG",
                file.toString()));
    List<SettingsSection.Fault> faults = new ArrayList<>();
    SettingsSection.Values read = ExtProcSettings.section().read(values, faults::add);
    ExtProcSettings.check(read, faults::add);
    assertEquals(List.of(), faults);
    door =
        FrontDoor.start(
            config,
            module,
            (loop, reader, settings) ->
                front =
                    ExtProcServer.withoutWarmUp(ExtProcSettings.of(read), loop, reader, settings));
    return this;
  }

  FrontDoor door() {
    return door;
  }

  ExtProcServer front() {
    return front;
  }

  /** Opens a new connection of a proxy. */
  ManagedChannel connection() {
    ManagedChannel channel =
        NettyChannelBuilder.forAddress(front.grpcAddress()).usePlaintext().build();
    channels.add(channel);
    return channel;
  }

  InetSocketAddress http() {
    return front.httpAddress();
  }

  /** A request id in the clients' format. */
  static String txn(String end) {
    return "0".repeat(16 - end.length()) + end;
  }

  static Map<String, String> submit(String id) {
    return new LinkedHashMap<>(request(id, true, "standard", 1, 3_000).headers());
  }

  static Map<String, String> status(String id) {
    return new LinkedHashMap<>(request(id, false, "standard", 1, 3_000).headers());
  }

  static StandInProxy.Request request(
      String id, boolean unsafe, String plan, int customer, long remainingMs) {
    return StandInProxy.Request.of(
        txn(id),
        unsafe,
        unsafe ? "order-submit" : "order-status",
        plan,
        String.format("%016x", customer),
        1,
        1,
        remainingMs);
  }

  static Map<String, String> with(Map<String, String> headers, String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(headers);
    if (value == null) {
      more.remove(name);
    } else {
      more.put(name, value);
    }
    return more;
  }

  @Override
  public void close() {
    channels.forEach(ManagedChannel::shutdownNow);
    if (door != null) {
      door.stop();
    }
    agent.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** A decision module that the test controls; it records each call. */
  static class ScriptedGateway implements Gateway {
    final BlockingQueue<Object> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> arrivals = new LinkedBlockingQueue<>();
    private final long sendTo;
    Gateway.Actions actions;

    /**
     * @param sendTo backend that each arrival is sent to at once; 0 leaves arrivals to the test
     */
    ScriptedGateway(long sendTo) {
      this.sendTo = sendTo;
    }

    Dispatcher.GatewayFactory module() {
      return (settings, now, asked) -> {
        actions = asked;
        return this;
      };
    }

    /** Waits for the next call, which must be of this kind. */
    <T> T expectCall(Class<T> kind) throws InterruptedException {
      Object next = calls.poll(10, TimeUnit.SECONDS);
      assertNotNull(next, "no call: " + kind.getSimpleName());
      assertEquals(kind, next.getClass(), next.toString());
      return kind.cast(next);
    }

    /** Runs an action on the event loop, as the module would. */
    void onLoop(ExtProcTestServer server, java.util.function.Consumer<Gateway.Actions> what)
        throws Exception {
      server.front().processor().runOnLoop(() -> what.accept(actions)).get();
    }

    @Override
    public void onRequest(long now, Request request) {
      calls.add(request);
      arrivals.add(request.id());
      if (sendTo != 0) {
        actions.send(request.id(), sendTo, 0);
      }
    }

    @Override
    public void onAttemptEnd(long now, AttemptReport answer) {
      calls.add(answer);
    }

    @Override
    public void onRequestCancelled(long now, long requestId) {
      calls.add(requestId);
    }

    @Override
    public void onBackends(long now, boolean whole, List<Backend> entries) {}

    @Override
    public void onDiscoveryFailure(long now) {}

    @Override
    public void onTimer(long now, int token) {}
  }
}
