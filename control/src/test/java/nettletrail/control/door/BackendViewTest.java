package nettletrail.control.door;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import nettletrail.protocol.Backend;
import nettletrail.protocol.BackendState;
import org.junit.jupiter.api.Test;

/**
 * The orders in which {@link BackendView} tells what it holds: runs of the emulator repeat by them.
 */
class BackendViewTest {
  private static final List<String> NAMES = List.of("zeta", "alpha", "mu", "beta", "omega", "nu");

  private final BackendView view = new BackendView();

  @Test
  void givenBackendsOfSeveralServices_whenDrained_thenServicesComeInTheOrderOfTheirChanges() {
    for (String service : NAMES) {
      view.update("core-1", backend(service), 0);
    }
    view.update("core-1", backend(NAMES.get(0)), 0);

    assertEquals(NAMES, new ArrayList<>(view.drainChangedServices()));
    assertEquals(List.of(), new ArrayList<>(view.drainChangedServices()));
  }

  @Test
  void givenSeveralLiveFeeds_whenOneIsLost_thenTheOthersStayInTheOrderInWhichTheyBecameLive() {
    NAMES.forEach(core -> view.feedLive(core, 0));
    view.feedLost("mu");

    assertEquals(
        List.of("zeta", "alpha", "beta", "omega", "nu"), new ArrayList<>(view.liveFeeds()));
  }

  private static Backend backend(String service) {
    return new Backend(
        "backend-of-" + service,
        service,
        "10.0.0.1:80",
        "zone-a",
        "v1",
        1,
        BackendState.READY,
        0L,
        "",
        List.of(),
        1L);
  }
}
