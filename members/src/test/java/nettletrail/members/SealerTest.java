package nettletrail.members;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What opens, what doesn't and why, and when keys change. */
class SealerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final byte[] TEXT = "who is there".getBytes(StandardCharsets.US_ASCII);

    private static KeyRing.Key key(int seed) {
        byte[] bytes = new byte[KeyRing.KEY_BYTES];
        new Random(seed).nextBytes(bytes);
        return new KeyRing.Key(seed, bytes);
    }

    private static KeyRing ring(KeyRing.Key... keys) {
        KeyRing ring = new KeyRing(60 * SECOND, 600 * SECOND);
        ring.holds(List.of(keys), 0);
        return ring;
    }

    private static Sealer sealer(KeyRing.Key... keys) {
        return new Sealer(ring(keys), 16);
    }

    private static Dropped why(Sealer opener, byte[] sealed) {
        return assertThrows(Refused.class, () -> opener.open(sealed, 0)).why();
    }

    @Test
    void opensWhatAnotherSealedOnce() throws Refused {
        Sealer one = sealer(key(1));
        Sealer other = sealer(key(1));
        byte[] sealed = one.seal(TEXT, Sealer.DATAGRAM, 0);
        assertEquals(TEXT.length + Sealer.overhead(), sealed.length);
        assertArrayEquals(TEXT, other.open(sealed, 0));
        assertEquals(Dropped.REPLAYED, why(other, sealed));
    }

    @Test
    void anyOrderIsTakenWithinTheWindowAndNothingTwice() throws Refused {
        Sealer one = sealer(key(1));
        Sealer other = sealer(key(1));
        List<byte[]> all = new ArrayList<>();
        for (int i = 0; i < 3_000; i++) {
            all.add(one.seal(TEXT, Sealer.DATAGRAM, 0));
        }
        List<byte[]> near = new ArrayList<>(all.subList(2_000, 3_000));
        Collections.shuffle(near, new Random(3));
        for (byte[] each : near) {
            assertArrayEquals(TEXT, other.open(each, 0));
        }
        for (byte[] each : near) {
            assertEquals(Dropped.REPLAYED, why(other, each));
        }
        assertEquals(Dropped.REPLAYED, why(other, all.get(0)), "too old to know whether it came");
    }

    @Test
    void whatNobodyWithAKeyMadeIsRefusedByItsKind() {
        Sealer other = sealer(key(1));
        byte[] sealed = sealer(key(1)).seal(TEXT, Sealer.DATAGRAM, 0);
        for (int i = 0; i < sealed.length; i++) {
            byte[] broken = sealed.clone();
            broken[i] ^= 1;
            assertEquals(i == 0 ? Dropped.FOREIGN : i < 5 ? Dropped.FOREIGN_KEY : Dropped.FORGED, why(other, broken), "byte " + i);
        }
        assertEquals(Dropped.TRUNCATED, why(other, java.util.Arrays.copyOf(sealed, 40)));
        assertEquals(Dropped.FOREIGN_KEY, why(other, sealer(key(2)).seal(TEXT, Sealer.DATAGRAM, 0)));
        assertEquals(Dropped.FORGED, why(other, sealer(key(1)).seal(TEXT, new byte[] {'f', 1, 2}, 0)), "made for another purpose");
    }

    @Test
    void twoProcessesWithOneKeyNeverSealAlike() {
        assertNotEquals(java.util.Arrays.toString(sealer(key(1)).seal(TEXT, Sealer.DATAGRAM, 0)),
                java.util.Arrays.toString(sealer(key(1)).seal(TEXT, Sealer.DATAGRAM, 0)));
    }

    @Test
    void aFileThatIsReplacedChangesTheKeyWithoutACut() {
        KeyRing ring = ring(key(1));
        ring.holds(List.of(key(2)), 100 * SECOND);
        assertEquals(1, ring.seals(159 * SECOND).id(), "the file may not be everywhere yet");
        assertEquals(2, ring.seals(160 * SECOND).id());
        assertEquals(1, ring.opens(1, 699 * SECOND).id(), "others may still seal with it");
        assertEquals(null, ring.opens(1, 700 * SECOND));
        assertEquals(2, ring.opens(2, 100 * SECOND).id(), "others may seal with it already");
    }

    @Test
    void aKeyThatComesBackIsKept() {
        KeyRing ring = ring(key(1), key(2));
        ring.holds(List.of(key(2)), 10 * SECOND);
        ring.holds(List.of(key(2), key(1)), 20 * SECOND);
        ring.holds(List.of(key(2), key(1)), 2_000 * SECOND);
        assertEquals(1, ring.opens(1, 2_000 * SECOND).id());
        assertEquals(2, ring.seals(21 * SECOND).id(), "it has been in the file from the start");
    }
}
