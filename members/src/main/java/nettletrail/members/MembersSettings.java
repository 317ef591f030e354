package nettletrail.members;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import nettletrail.core.Endpoint;
import nettletrail.core.SettingsSection;

/**
 * {@code [members]} of the operator file.
 *
 * @param advertise where others reach this door, or null for where it listens
 * @param seeds addresses by the door's name; a name without one that is known is not called by it
 * @param doors that the installation has; 0: as many as the settings tell
 */
public record MembersSettings(InetSocketAddress listen, InetSocketAddress advertise, Map<String, String> seeds, String keyFile,
        int doors, Terms terms, long newKeyAfterS, long oldKeyS, int mostKbPerS) {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000_000_000L;
    private static final int MOST_DATAGRAM_TEXT = 1_000;

    public MembersSettings {
        seeds = Map.copyOf(seeds);
    }

    /** The section's keys. */
    public static SettingsSection section() {
        return new SettingsSection("members",
                "Front doors that know each other, and notice when one is gone (UDP and TCP).")
                .flag("enabled", false, "whether front doors know each other at all")
                .address("listen", "127.0.0.1:7946", "where other doors reach this one, over UDP and TCP alike")
                .address("advertise", "", "where they reach it, if that is another address; \"\" for the same")
                .text("seeds", 0, 65_536, "", "the doors to join through, as \"n0=IP:PORT,n1=IP:PORT\"; a door named here is reached"
                        + " at this address whatever it says itself")
                .text("key_file", 0, 1_024, "", "file with the doors' shared keys, for this user only: one a line, 32 bytes in"
                        + " Base64; the first seals, all open")
                .integer("doors", 0, 1_024, 0, "front doors in the installation; 0 for as many as the settings tell")
                .integer("period_ms", 100, 10_000, 400, "ms between two probes")
                .integer("ack_ms", 20, 5_000, 150, "ms after which other doors are asked to probe in one's place")
                .integer("suspicion_periods", 2, 100, 5,
                        "periods for which a suspect may answer, at least, with up to nine doors")
                .integer("helpers", 1, 16, 3, "doors asked to probe in one's place")
                .integer("sync_s", 1, 600, 10, "s between two exchanges of all that is known with another door")
                .integer("forget_s", 60, 86_400, 600, "s after which a door that is gone is forgotten")
                .integer("most_members", 2, 4_096, 1_024, "doors known at once, those that are gone included")
                .integer("new_key_after_s", 0, 3_600, 60,
                        "s after which a new first key seals: within it the file must come to all")
                .integer("old_key_s", 1, 86_400, 600, "s for which a key that is gone from the file still opens")
                .integer("most_kb_per_s", 1, 100_000, 256, "KiB of datagrams sent a second, at most");
    }

    /** Rules between the values. */
    public static void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults) {
        if (values.integer("ack_ms") * 2 > values.integer("period_ms")) {
            faults.accept(new SettingsSection.Fault("ack_ms",
                    "must be half of period_ms at most, or helpers have no time to answer"));
        }
        if (values.integer("old_key_s") < values.integer("new_key_after_s")) {
            faults.accept(new SettingsSection.Fault("old_key_s",
                    "must be new_key_after_s at least, or a door that still seals with the"
                    + " old key isn't understood"));
        }
        try {
            seeds(values.text("seeds"));
        } catch (IllegalArgumentException e) {
            faults.accept(new SettingsSection.Fault("seeds", e.getMessage()));
        }
        if (!values.flag("enabled")) {
            return;
        }
        if (values.text("listen").isEmpty()) {
            faults.accept(new SettingsSection.Fault("listen", "must name an address where members are enabled"));
        }
        try {
            if (values.text("key_file").isEmpty()) {
                throw new IOException("must name the file with the doors' shared keys; make one with:"
                        + " openssl rand -base64 32 > FILE && chmod 600 FILE");
            }
            KeyRing.read(values.text("key_file"));
        } catch (IOException e) {
            faults.accept(new SettingsSection.Fault("key_file", e.getMessage()));
        }
    }

    public static MembersSettings of(SettingsSection.Values values) {
        Terms terms = new Terms(values.integer("period_ms") * MS, values.integer("ack_ms") * MS, Terms.usual().tickNs(),
                values.integer("suspicion_periods"), (int) values.integer("helpers"), values.integer("sync_s") * SECOND,
                values.integer("forget_s") * SECOND, (int) values.integer("most_members"), MOST_DATAGRAM_TEXT, true);
        return new MembersSettings(Endpoint.parseAddress(values.text("listen")),
                Endpoint.parseAddress(values.text("advertise")),
                seeds(values.text("seeds")), values.text("key_file"), (int) values.integer("doors"), terms,
                values.integer("new_key_after_s"), values.integer("old_key_s"), (int) values.integer("most_kb_per_s"));
    }

    private static Map<String, String> seeds(String text) {
        Map<String, String> seeds = new LinkedHashMap<>();
        for (String part : text.isBlank() ? new String[0] : text.split(",")) {
            String[] sides = part.strip().split("=", 2);
            if (sides.length != 2 || !sides[0].matches("[A-Za-z0-9_.-]{1,64}") || Endpoint.parseAddress(sides[1])
                    == null) {
                throw new IllegalArgumentException("has '" + part.strip() + "'; write NAME=IP:PORT, as n0=10.0.0.4:7946");
            }
            if (seeds.put(sides[0], sides[1]) != null) {
                throw new IllegalArgumentException("names " + sides[0] + " twice; name it once");
            }
        }
        return seeds;
    }
}
