package nettletrail.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettletrail.core.Section;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The key file, and the section of the operator file. */
class KeyFileTest {
    private static final String KEY = Base64.getEncoder().encodeToString(new byte[32]);
    @TempDir
    private Path folder;

    private String file(String text, String mode) throws IOException {
        Path file = folder.resolve("keys");
        Files.deleteIfExists(file);
        Files.writeString(file, text);
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString(mode));
        return file.toString();
    }

    @Test
    void holdsOneKeyALine() throws IOException {
        assertEquals(2, KeyRing.read(file(KEY + "\r\n\n" + KEY + "\n", "rw-------")).size());
    }

    @Test
    void whatCantBeUsedIsToldWithoutItsText() throws IOException {
        for (String bad : List.of("not base64 at all!", "c2hvcnQ=", "\n", (KEY + "\n").repeat(9))) {
            String file = file(bad, "rw-------");
            String why = assertThrows(IOException.class, () -> KeyRing.read(file)).getMessage();
            assertTrue(why.startsWith(file), why);
            assertFalse(!bad.isBlank() && why.contains(bad.strip()), why);
        }
        String open = file(KEY, "rw-r-----");
        assertTrue(assertThrows(IOException.class, () -> KeyRing.read(open)).getMessage().contains("chmod 600"));
    }

    private List<String> faults(Map<String, Object> given) {
        List<Section.Fault> faults = new ArrayList<>();
        Section.Values values = MembersSettings.section().read(given, faults::add);
        MembersSettings.check(values, faults::add);
        return faults.stream().map(Section.Fault::key).toList();
    }

    @Test
    void rulesBetweenTheSettingsAreChecked() throws IOException {
        Map<String, Object> good = new LinkedHashMap<>(Map.of("enabled", true, "key_file", file(KEY, "rw-------"), "seeds",
                "n0=127.0.0.1:1,n1=127.0.0.1:2"));
        assertEquals(List.of(), faults(good));
        assertEquals(Map.of("n0", "127.0.0.1:1", "n1", "127.0.0.1:2"), MembersSettings.of(MembersSettings.section()
                .read(good, fault -> { })).seeds());
        Map<String, List<Object>> bad = Map.of("seeds", List.of("n0", "n0=1.2.3.4", "n0=127.0.0.1:1,n0=127.0.0.1:2"),
                "key_file", List.of("", "/nowhere"), "listen", List.of(""), "ack_ms", List.of(201L), "old_key_s", List.of(59L),
                "period_ms", List.of(99L));
        bad.forEach((key, values) -> values.forEach(value -> {
            Map<String, Object> one = new LinkedHashMap<>(good);
            one.put(key, value);
            assertEquals(List.of(key), faults(one), key + " = " + value);
        }));
    }
}
