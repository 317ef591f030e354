package nettletrail.app.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettletrail.app.processes.EventLog.Event;
import nettletrail.app.processes.Fleet;
import nettletrail.site.Site;
import nettletrail.site.SiteBackend;
import nettletrail.site.SiteSettings;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;

/** Five front doors as processes, faults between them and on them; one fleet for all cases, each of which leaves it whole. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class MembersProcessesTest {
    private static final int DOORS = 5;
    private static final long LONG_MS = 30_000;
    private static Site site;
    private static Fleet fleet;
    private int mark;

    @BeforeAll
    static void start() throws Exception {
        site = new Site(SiteSettings.usual(DOORS), 3, new SiteBackend.Machine(8, 64, 5), 1);
        fleet = new Fleet("members", site, DOORS, 1, "");
        fleet.startAll();
    }

    @AfterAll
    static void end() throws Exception {
        fleet.close();
        site.close();
    }

    @BeforeEach
    void oneView() throws Exception {
        Beliefs wrong = Beliefs.await(fleet.log(), LONG_MS, Beliefs::oneView);
        assertNull(wrong, () -> "no one view: " + wrong + "\n" + fleet.log().text());
        mark = fleet.log().mark();
    }

    private List<Event> events(String kind) {
        return fleet.log().since(mark).stream().filter(each -> each.kind().equals(kind)).toList();
    }

    private void await(String what, java.util.function.Predicate<Beliefs> so) throws InterruptedException {
        Beliefs wrong = Beliefs.await(fleet.log(), LONG_MS, so);
        assertNull(wrong, () -> what + ": " + wrong + "\n" + fleet.log().text());
    }

    private static boolean all(Beliefs beliefs, List<Integer> of, String name, String state) {
        return of.stream().allMatch(each -> beliefs.of(each, name) != null
                && beliefs.of(each, name).state().equals(state));
    }

    @Test
    @Order(1)
    void oneIsKilledTheOthersAgreeAndNobodyElseIsCalledGone() throws Exception {
        fleet.kill(4);
        await("n4 gone", beliefs -> all(beliefs, List.of(0, 1, 2, 3), "n4", "gone"));
        assertTrue(events("members.gone").stream().allMatch(each -> each.field("who").equals("n4")),
                () -> fleet.log().text());
        fleet.start(4);
        await("n4 back in a new life", Beliefs::oneView);
        assertEquals(0, events("members.back").stream().filter(each -> each.field("who").equals("n4")).count(),
                () -> "a new life is no return\n" + fleet.log().text());
    }
}
