package nettletrail.control.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import nettletrail.control.door.DoorAction;
import nettletrail.control.door.DoorAction.ConfigurationChanged;
import nettletrail.control.door.DoorControl;
import nettletrail.control.door.DoorControlSettings;
import nettletrail.protocol.Hello;
import nettletrail.protocol.Ping;
import nettletrail.protocol.link.Peer;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;

class DoorHostTest {
  private static final String CORE = "10.0.0.1:7680";
  private static final String OTHER_CORE = "10.0.0.2:7680";
  private static final Peer PEER =
      new Peer(CORE, "core", true, new Hello("core-1", CORE, "core", 1L, 2));

  private final AtomicLong clock = new AtomicLong();
  private final List<String> events = new ArrayList<>();
  private boolean linkUp;
  private final DoorControl control =
      new DoorControl(
          new DoorControlSettings("door-1", "zone", 1, 5_000, 9_000, List.of(CORE)), clock.get());
  private final DoorHost host =
      new DoorHost(control, clock::get, new RecordedLinks(), new RecordedDataPlane());

  @Test
  void seedsAreDialledAtTheFirstTick() {
    host.tick();
    assertEquals(List.of("dial " + CORE), events);
  }

  @Test
  void newSeedsAreDialledAtOnce() {
    host.settingsChanged(List.of(OTHER_CORE));
    assertEquals(List.of("dial " + OTHER_CORE), events);
  }

  @Test
  void linkedCoreGetsAHeartbeat() {
    host.tick();
    host.up(PEER);
    assertEquals(List.of("dial " + CORE, "send " + CORE + " DoorHeartbeat"), events);
  }

  @Test
  void linkIsLostOnlyOnceNoOtherLinkWithThePeerIsUp() {
    host.tick();
    host.up(PEER);
    linkUp = true;
    host.down(PEER);
    clock.addAndGet(2_000_000_000L);
    events.clear();
    host.poll();
    assertEquals(List.of("send " + CORE + " DoorHeartbeat"), events);
    linkUp = false;
    host.down(PEER);
    clock.addAndGet(2_000_000_000L);
    events.clear();
    host.poll();
    assertTrue(events.isEmpty());
  }

  @Test
  void actionsArePerformedInTheirOrder() {
    host.perform(
        List.of(
            new DoorAction.BackendsChanged("model"),
            new DoorAction.SendToCore(CORE, new Ping(1L)),
            new ConfigurationChanged(3, 2, ByteBuffer.allocate(0)),
            new DoorAction.Undial(CORE)));
    assertEquals(
        List.of("backends of model", "send " + CORE + " Ping", "activate 2", "undial " + CORE),
        events);
  }

  private final class RecordedLinks implements DoorHostLinks {
    @Override
    public void dial(String address) {
      events.add("dial " + address);
    }

    @Override
    public void undial(String address) {
      events.add("undial " + address);
    }

    @Override
    public void send(String address, SpecificRecord message) {
      events.add("send " + address + " " + message.getSchema().getName());
    }

    @Override
    public boolean isUp(String address) {
      return linkUp;
    }
  }

  private final class RecordedDataPlane implements DoorDataPlane {
    @Override
    public void activate(ConfigurationChanged changed) {
      events.add("activate " + changed.edition());
    }

    @Override
    public void backendsChanged(String service) {
      events.add("backends of " + service);
    }
  }
}
