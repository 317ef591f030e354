package nettletrail.members;

import java.io.IOException;
import java.nio.CharBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.core.SecretFile;

/**
 * The shared keys of an installation's members. The key file holds one key a line (32 bytes in Base64); the first seals, all
 * open. A first line that is new seals only after a time in which the file comes to all doors, and a key that is no longer in
 * the file opens for a stated time more, so that the file may simply be replaced, at one door after the other.
 *
 * <p>Not for several threads at once.
 */
public final class KeyRing {
    /** Bytes of a key. */
    static final int KEY_BYTES = 32;
    static final int ID_BYTES = 4;
    private static final int MOST_KEYS = 8;

    /** A key and what tells it. */
    record Key(int id, byte[] bytes) { }

    private static final class Held {
        final Key key;
        /** When it was first seen in the file; and when it was first missing, or below 0. */
        final long since;
        long missingSince = -1;

        Held(Key key, long since) {
            this.key = key;
            this.since = since;
        }
    }

    private final long sealAfterNs;
    private final long openAfterNs;
    private final Map<Integer, Held> held = new LinkedHashMap<>();
    private List<Integer> order = List.of();
    private boolean first = true;

    /**
     * @param sealAfterNs after which a new first key seals
     * @param openAfterNs for which a key that is gone from the file still opens
     */
    public KeyRing(long sealAfterNs, long openAfterNs) {
        this.sealAfterNs = sealAfterNs;
        this.openAfterNs = openAfterNs;
    }

    /**
     * The keys in a file that only this user may read.
     *
     * @throws IOException if it can't be used; the message says why and doesn't tell what is in it
     */
    static List<Key> read(String file) throws IOException {
        char[] text = SecretFile.read(file);
        try {
            List<Key> keys = new ArrayList<>();
            int from = 0;
            int line = 0;
            for (int i = 0; i <= text.length; i++) {
                if (i == text.length || text[i] == '\n') {
                    line++;
                    int end = i > from && text[i - 1] == '\r' ? i - 1 : i;
                    if (end > from) {
                        keys.add(key(file, line, CharBuffer.wrap(text, from, end - from)));
                    }
                    from = i + 1;
                }
            }
            if (keys.isEmpty() || keys.size() > MOST_KEYS) {
                throw new IOException(file + " must hold 1 to " + MOST_KEYS + " keys, one a line");
            }
            return keys;
        } finally {
            Arrays.fill(text, '\0');
        }
    }

    private static Key key(String file, int line, CharBuffer text) throws IOException {
        byte[] encoded = new byte[text.remaining()];
        for (int i = 0; i < encoded.length; i++) {
            encoded[i] = (byte) Math.min(text.get(i), 0x7f);
        }
        byte[] bytes;
        try {
            bytes = Base64.getDecoder().decode(encoded);
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ":" + line + " is no Base64; make a key with: openssl rand -base64 " + KEY_BYTES, e);
        } finally {
            Arrays.fill(encoded, (byte) 0);
        }
        if (bytes.length != KEY_BYTES) {
            throw new IOException(file + ":" + line + " must be a key of " + KEY_BYTES
                    + " bytes in Base64; make one with: openssl rand -base64 " + KEY_BYTES);
        }
        return new Key(id(bytes), bytes);
    }

    /** Tells keys apart without telling anything of them. */
    private static int id(byte[] key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update("nettletrail key id".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            byte[] hash = digest.digest(key);
            return hash[0] << 24 | (hash[1] & 0xff) << 16 | (hash[2] & 0xff) << 8 | hash[3] & 0xff;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** What the file holds now. */
    void holds(List<Key> keys, long now) {
        for (Key each : keys) {
            Held known = held.get(each.id());
            if (known == null) {
                held.put(each.id(), new Held(each, first ? now - sealAfterNs : now));
            } else {
                known.missingSince = -1;
            }
        }
        order = keys.stream().map(Key::id).toList();
        held.values().forEach(each -> {
            if (!order.contains(each.key.id()) && each.missingSince < 0) {
                each.missingSince = now;
            }
        });
        first = false;
        forget(now);
    }

    private void forget(long now) {
        held.values().removeIf(each -> each.missingSince >= 0 && now - each.missingSince >= openAfterNs);
    }

    /** The key that seals now. */
    Key seals(long now) {
        for (int each : order) {
            if (now - held.get(each).since >= sealAfterNs) {
                return held.get(each).key;
            }
        }
        // None in the file is old enough: the newest that is on its way out, which all others still know.
        Held best = null;
        for (Held each : held.values()) {
            boolean known = each.missingSince >= 0;
            best = known && (best == null || each.missingSince > best.missingSince) ? each : best;
        }
        return best != null ? best.key : held.get(order.get(0)).key;
    }

    /** The key of this id, or null if it doesn't open any more or never did. */
    Key opens(int id, long now) {
        Held key = held.get(id);
        return key == null || key.missingSince >= 0 && now - key.missingSince >= openAfterNs ? null : key.key;
    }

    /** How many open now. */
    int size() {
        return held.size();
    }
}
