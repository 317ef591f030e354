package nettletrail.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.core.SettingsSection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TokensSettingsTest {
    @TempDir
    private Path folder;

    private static List<SettingsSection.Fault> faults(Map<String, Object> given) {
        List<SettingsSection.Fault> faults = new ArrayList<>();
        Map<String, Object> on = new HashMap<>(given);
        on.putIfAbsent("enabled", true);
        TokensSettings.check(TokensSettings.section().read(on, faults::add), faults::add);
        return faults;
    }

    private static List<String> keys(Map<String, Object> given) {
        return faults(given).stream().map(SettingsSection.Fault::key).toList();
    }

    @Test
    void defaultsAreSoundAndOffNothingIsLookedAt() {
        assertEquals(List.of(), faults(Map.of()));
        assertEquals(List.of(), faults(Map.of("enabled", false, "servers", "nowhere")));
    }

    @Test
    void eachFaultNamesItsKey() throws Exception {
        assertEquals(List.of("servers"), keys(Map.of("servers", "127.0.0.1:1,localhost:2")));
        assertEquals(List.of("servers"), keys(Map.of("servers", "127.0.0.1:1,127.0.0.1:1")));
        assertEquals(List.of("scopes"), keys(Map.of("scopes", "order-submit")));
        assertEquals(List.of("stale"), keys(Map.of("stale", "order-status=long")));
        assertEquals(List.of("client_auth"), keys(Map.of("client_auth", "none")));
        assertEquals(List.of("path"), keys(Map.of("path", "introspect")));
        assertEquals(List.of("realm"), keys(Map.of("realm", "a\"b")));
        assertEquals(List.of("revoked_s"), keys(Map.of("revoked_s", 1L)));
        assertEquals(List.of("client_secret_file"), keys(Map.of("client_id", "gw")));
        assertEquals(List.of("authority_keys_file"), keys(Map.of("signed_answers", true)));
        assertEquals(List.of("issuer", "authority_keys_file"), keys(Map.of("local_jwts", true)));
        assertEquals(List.of("authority_keys_file"), keys(Map.of("revocations_listen", "127.0.0.1:9005")));
        Path open = folder.resolve("open");
        Files.writeString(open, "s3cret-never-shown");
        Files.setPosixFilePermissions(open, PosixFilePermissions.fromString("rw-r--r--"));
        List<SettingsSection.Fault> told = faults(Map.of("client_id", "gw", "client_secret_file", open.toString()));
        assertEquals(1, told.size());
        assertTrue(told.get(0).message().contains("chmod 600"));
        assertFalse(told.toString().contains("never-shown"));
        Files.setPosixFilePermissions(open, PosixFilePermissions.fromString("rw-------"));
        told = faults(Map.of("client_id", "gw", "client_secret_file", open.toString(), "client_auth", "private_key_jwt"));
        assertEquals(List.of("assertion_audience", "client_secret_file"), told.stream().map(SettingsSection.Fault::key)
                .toList());
        assertFalse(told.toString().contains("never-shown"));
    }
}
