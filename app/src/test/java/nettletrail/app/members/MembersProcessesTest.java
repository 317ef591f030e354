package nettletrail.app.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import nettletrail.app.processes.ChildJvm;
import nettletrail.app.processes.EventLog.Event;
import nettletrail.app.processes.Fleet;
import nettletrail.core.Endpoint;
import nettletrail.faults.DatagramRelay.Weather;
import nettletrail.site.Site;
import nettletrail.site.SiteBackend;
import nettletrail.site.SiteSettings;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Five front doors as processes, faults on them and between them; one fleet for all cases, each of which must find it in one
 * view and leaves it so. What must hold at every instant the judge says; what must come about is awaited.
 */
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
        await("one view", Beliefs::oneAgreed);
        mark = fleet.log().mark();
    }

    @AfterEach
    void kept() {
        assertEquals(List.of(), MembersJudge.broken(fleet.log().all()), () -> fleet.log().text());
    }

    private List<Event> events(String kind) {
        return fleet.log().since(mark).stream().filter(each -> each.kind().equals(kind)).toList();
    }

    private static void await(String what, Predicate<Beliefs> so) throws InterruptedException {
        Beliefs wrong = Beliefs.await(fleet.log(), LONG_MS, so);
        assertNull(wrong, () -> what + ": " + wrong + "\n" + fleet.log().text());
    }

    private void await(String kind, String who, int... by) throws InterruptedException {
        for (int each : by) {
            Event event = fleet.log().await(mark, LONG_MS, told -> told.process() == each && told.kind().equals(kind)
                    && told.field("who").equals(who));
            assertTrue(event != null, () -> "n" + each + " never said " + kind + " of " + who + "\n" + fleet.log().text());
        }
    }

    private void nobodyElseGone(String who) {
        assertTrue(events("members.gone").stream().allMatch(each -> each.field("who").equals(who)),
                () -> fleet.log().text());
    }

    private static int[] but(int door) {
        return IntStream.range(0, DOORS).filter(each -> each != door).toArray();
    }

    @Test
    void whoIsKilledIsSurelyGoneByTheWordOfAllOthersAndNobodyElseIs() throws Exception {
        fleet.kill(4);
        await("members.gone", "n4", but(4));
        await("members.surely_gone", "n4", but(4));
        nobodyElseGone("n4");
        fleet.start(4);
        await("n4 in a new life", Beliefs::oneAgreed);
    }

    @Test
    void aShortStopIsNoDeathAndWhoWakesAccusesNobody() throws Exception {
        fleet.stop(2);
        Thread.sleep(500); // the length of the stop is the case; what it must not bring about is asserted
        fleet.go(2);
        await("members.paused", "n2", 2);
        await("one view", Beliefs::oneView);
        assertEquals(List.of(), events("members.gone"), () -> fleet.log().text());
    }

    @Test
    void aLongStopIsSurelyGoneAndComesBackInANewLife() throws Exception {
        String before = fleet.ask(3, "members").get("life").toString();
        fleet.stop(3);
        await("members.surely_gone", "n3", but(3));
        fleet.go(3);
        await("n3 back", Beliefs::oneAgreed);
        assertNotEquals(before, fleet.ask(3, "members").get("life").toString());
        nobodyElseGone("n3");
        assertTrue(events("members.suspect").stream().noneMatch(each -> each.field("by").equals("n3")),
                () -> fleet.log().text());
    }

    @Test
    void onlyTheLargerPartAgreesAndAfterTheHealThereIsOneView() throws Exception {
        fleet.mesh().works((from, to) -> from / 3 == to / 3);
        await("members.surely_gone", "n3", 0, 1, 2);
        await("members.gone", "n0", 3, 4);
        assertTrue(events("members.surely_gone").stream().allMatch(each -> each.process() < 3), () -> fleet.log().text());
        assertTrue(events("members.view").stream().allMatch(each -> each.process() < 3), () -> fleet.log().text());
        fleet.mesh().heal();
        await("one view", Beliefs::oneAgreed);
    }

    @Test
    void whoHearsNobodyAccusesNobodyAndIsNotCalledGone() throws Exception {
        fleet.mesh().works((from, to) -> to != 1);
        await("members.doubt", "n1", 1);
        await("members.cut", "n1", but(1));
        fleet.mesh().heal();
        await("members.healed", "n1", but(1));
        await("one view", Beliefs::oneAgreed);
        assertEquals(List.of(), events("members.gone"), () -> fleet.log().text());
    }

    @Test
    void whomNobodyHearsIsGoneAndAccusesNobody() throws Exception {
        fleet.mesh().works((from, to) -> from != 1);
        await("members.gone", "n1", but(1));
        await("members.accused", "n1", 1);
        fleet.mesh().heal();
        await("one view", Beliefs::oneAgreed);
        nobodyElseGone("n1");
    }

    @Test
    void aWayThatIsBrokenInOneDirectionIsTold() throws Exception {
        fleet.mesh().works((from, to) -> !(from == 0 && to == 1));
        boolean told = false;
        for (int i = 0; i < 300 && !told; i++) {
            told = fleet.ask(3, "members").get("broken_links") instanceof List<?> links && links.stream()
                    .anyMatch(each -> each instanceof Map<?, ?> link && link.get("from").equals("n0")
                            && link.get("to").equals("n1"));
            Thread.sleep(50);
        }
        assertTrue(told, () -> fleet.log().text());
        fleet.mesh().heal();
        assertEquals(List.of(), events("members.gone"), () -> fleet.log().text());
    }

    @Test
    void forgedRepeatedAndForeignDatagramsChangeNothing() throws Exception {
        Map<String, Object> status = fleet.ask(0, "members");
        InetSocketAddress at = Endpoint.address(((Map<?, ?>) ((List<?>) status.get("members")).get(0)).get("address").toString());
        SplittableRandom random = new SplittableRandom(7);
        fleet.mesh().weather(new Weather(0, 1, 0, 0, 1, 0)); // each comes twice
        try (DatagramSocket socket = new DatagramSocket()) {
            for (int i = 0; i < 5_000; i++) {
                byte[] bytes = new byte[random.nextInt(1_600)];
                random.nextBytes(bytes);
                if (bytes.length > 0 && i % 2 == 0) {
                    bytes[0] = 1; // of the right version
                }
                socket.send(new DatagramPacket(bytes, bytes.length, at));
            }
        }
        boolean all = false;
        for (int i = 0; i < 300 && !all; i++) {
            all = fleet.ask(0, "members").get("dropped") instanceof Map<?, ?> dropped && dropped.keySet()
                    .containsAll(List.of("truncated", "overlong", "foreign", "foreign_key", "replayed"));
            Thread.sleep(50);
        }
        assertTrue(all, () -> fleet.log().text());
        fleet.mesh().heal();
        assertEquals(List.of(), events("members.gone"), () -> fleet.log().text());
    }

    @Test
    void keysAreReplacedInServiceAndWhoMissedTwoRotationsIsCutUntilItHasThem() throws Exception {
        String first = Fleet.newKey();
        String second = Fleet.newKey();
        fleet.writeKeys(first);
        for (int each = 0; each < DOORS; each++) {
            await("members.keys", "n" + each, each);
        }
        fleet.kill(4);
        fleet.writeKeysOf(4, first);
        fleet.start(4);
        await("one view", Beliefs::oneAgreed);
        int rotated = fleet.log().mark();
        fleet.writeKeys(second);
        for (int each = 0; each < 4; each++) {
            int door = each;
            assertTrue(fleet.log().await(rotated, LONG_MS, told -> told.process() == door
                    && told.kind().equals("members.keys")) != null, () -> fleet.log().text());
        }
        mark = rotated;
        await("members.gone", "n4", 0, 1, 2, 3);
        await("members.doubt", "n4", 4);
        fleet.writeKeysOf(4, second, first);
        await("one view", Beliefs::oneAgreed);
        nobodyElseGone("n4");
    }

    @Test
    void ofTwoDoorsWithOneNameTheNewerIsTheMember() throws Exception {
        try (ChildJvm twin = fleet.launchDouble(2)) {
            assertTrue(twin.alive());
            await("members.superseded", "n2", 2);
        }
        mark = fleet.log().mark();
        await("members.renewed", "n2", 2);
        await("one view", Beliefs::oneAgreed);
        nobodyElseGone("n2");
    }
}
