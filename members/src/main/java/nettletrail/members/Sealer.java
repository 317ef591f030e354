package nettletrail.members;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import javax.crypto.AEADBadTagException;
import javax.crypto.Cipher;
import javax.crypto.Mac;
import javax.crypto.spec.GCMParameterSpec;
import javax.crypto.spec.SecretKeySpec;

/**
 * Seals and opens what goes between doors: AES-256 in Galois/counter mode under a key of this process's own, made of the
 * shared key and a salt (HMAC-SHA-256), with a counter that is never used twice. What is sealed:
 * <pre>
 * 1 byte version, 4 bytes id of the shared key, 16 bytes salt, 8 bytes counter, then the sealed text and its tag of 16 bytes
 * </pre>
 * The head is authenticated too. A datagram's counter must be new: a window of 1,024 for each salt that was ever authentic
 * (RFC 6479's way), the longest unheard forgotten first. Not for several threads at once.
 */
final class Sealer {
    private static final byte VERSION = 1;
    private static final int SALT = 16;
    static final int HEAD = 1 + KeyRing.ID_BYTES + SALT + Long.BYTES;
    static final int TAG = 16;
    private static final int TAG_BITS = 128;
    private static final int NONCE = 12;
    private static final int SALT_AT = 1 + KeyRing.ID_BYTES;
    private static final int COUNTER_AT = SALT_AT + SALT;
    /** What a message is sealed for: one kind can't pass as the other. */
    static final byte[] DATAGRAM = {'d'};

    /** Counters of one salt that came. */
    private static final class Window {
        private static final int BITS = 1_024;
        private final long[] seen = new long[BITS / Long.SIZE];
        private long highest = -1;

        /** Whether it is new; it isn't any more afterwards. */
        boolean take(long counter) {
            if (counter < 0 || counter <= highest - BITS) {
                return false;
            }
            for (long each = Math.max(highest + 1, counter - BITS + 1); each <= counter; each++) {
                seen[(int) (each % BITS) / Long.SIZE] &= ~(1L << each % Long.SIZE);
            }
            highest = Math.max(highest, counter);
            long bit = 1L << counter % Long.SIZE;
            int word = (int) (counter % BITS) / Long.SIZE;
            boolean fresh = (seen[word] & bit) == 0;
            seen[word] |= bit;
            return fresh;
        }
    }

    /** A sender's key and what came under it. */
    private record Sender(SecretKeySpec key, Window window) { }

    private final KeyRing keys;
    private final byte[] salt = new byte[SALT];
    private final Map<ByteBuffer, Sender> senders;
    private final Map<Integer, SecretKeySpec> own = new LinkedHashMap<>();
    private final Cipher sealing;
    private final Cipher opening;
    private final Mac mac;
    private long counter;

    /** @param mostSenders remembered */
    Sealer(KeyRing keys, int mostSenders) {
        this.keys = keys;
        new SecureRandom().nextBytes(salt);
        senders = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<ByteBuffer, Sender> eldest) {
                return size() > mostSenders;
            }
        };
        try {
            sealing = Cipher.getInstance("AES/GCM/NoPadding");
            opening = Cipher.getInstance("AES/GCM/NoPadding");
            mac = Mac.getInstance("HmacSHA256");
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has these", e);
        }
    }

    /** The counter that something was sealed under; authentic only once it is opened. */
    static long counter(byte[] sealed) {
        return ByteBuffer.wrap(sealed).getLong(COUNTER_AT);
    }

    /** Bytes that sealing adds. */
    static int overhead() {
        return HEAD + TAG;
    }

    /** @param purpose what it is sealed for; only who opens it for the same can */
    byte[] seal(byte[] text, byte[] purpose, long now) {
        KeyRing.Key key = keys.seals(now);
        byte[] sealed = new byte[HEAD + text.length + TAG];
        ByteBuffer.wrap(sealed).put(VERSION).putInt(key.id()).put(salt).putLong(counter);
        try {
            SecretKeySpec mine = own.computeIfAbsent(key.id(), id -> derive(key, salt, 0));
            sealing.init(Cipher.ENCRYPT_MODE, mine, nonce(counter));
            sealing.updateAAD(sealed, 0, HEAD);
            sealing.updateAAD(purpose);
            sealing.doFinal(text, 0, text.length, sealed, HEAD);
            counter++;
            return sealed;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("sealing", e);
        }
    }

    private static GCMParameterSpec nonce(long counter) {
        return new GCMParameterSpec(TAG_BITS, ByteBuffer.allocate(NONCE).putInt(0).putLong(counter).array());
    }

    private SecretKeySpec derive(KeyRing.Key key, byte[] from, int at) {
        try {
            mac.init(new SecretKeySpec(key.bytes(), "HmacSHA256"));
            mac.update((byte) 'n');
            mac.update(from, at, SALT);
            return new SecretKeySpec(mac.doFinal(), "AES");
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("deriving a key", e);
        }
    }

    /**
     * Opens a datagram that hasn't come before.
     *
     * @throws Refused if it is none, or not from a holder of a key, or has come
     */
    byte[] open(byte[] sealed, long now) throws Refused {
        return open(sealed, DATAGRAM, now, true);
    }

    /** Opens what was sealed for this purpose, whether it came before or not: the purpose must make it unique. */
    byte[] open(byte[] sealed, byte[] purpose, long now) throws Refused {
        return open(sealed, purpose, now, false);
    }

    private byte[] open(byte[] sealed, byte[] purpose, long now, boolean once) throws Refused {
        if (sealed.length < HEAD + TAG) {
            throw new Refused(Dropped.TRUNCATED);
        }
        if (sealed[0] != VERSION) {
            throw new Refused(Dropped.FOREIGN);
        }
        KeyRing.Key key = keys.opens(ByteBuffer.wrap(sealed).getInt(1), now);
        if (key == null) {
            throw new Refused(Dropped.FOREIGN_KEY);
        }
        // With the key's id: after a rotation the same salt goes with another key.
        ByteBuffer name = ByteBuffer.wrap(Arrays.copyOfRange(sealed, 1, COUNTER_AT));
        Sender known = senders.get(name);
        SecretKeySpec its = known != null ? known.key() : derive(key, sealed, SALT_AT);
        long number = ByteBuffer.wrap(sealed).getLong(COUNTER_AT);
        byte[] text;
        try {
            opening.init(Cipher.DECRYPT_MODE, its, nonce(number));
            opening.updateAAD(sealed, 0, HEAD);
            opening.updateAAD(purpose);
            text = opening.doFinal(sealed, HEAD, sealed.length - HEAD);
        } catch (AEADBadTagException e) {
            throw new Refused(Dropped.FORGED);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("opening", e);
        }
        if (known == null) {
            known = new Sender(its, new Window());
            senders.put(name, known);
        }
        if (once && !known.window().take(number)) {
            throw new Refused(Dropped.REPLAYED);
        }
        return text;
    }
}
