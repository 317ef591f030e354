package nettletrail.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettletrail.core.SettingsSection;
import org.junit.jupiter.api.Test;

class ExtProcSettingsTest {
  private static List<SettingsSection.Fault> faults(Object... keys) {
    Map<String, Object> given = new HashMap<>();
    for (int i = 0; i < keys.length; i += 2) {
      given.put((String) keys[i], keys[i + 1]);
    }
    List<SettingsSection.Fault> faults = new ArrayList<>();
    SettingsSection.Values values = ExtProcSettings.section().read(given, faults::add);
    ExtProcSettings.check(values, faults::add);
    return faults;
  }

  @Test
  void defaultsAreValidAndDisabled() {
    assertEquals(List.of(), faults());
    SettingsSection.Values values = ExtProcSettings.section().read(Map.of(), fault -> {});
    assertTrue(!values.flag("enabled"));
    ExtProcSettings settings = ExtProcSettings.of(values);
    assertEquals(20_000_000L, settings.budgetNanos());
    assertEquals(9002, settings.listen().getPort());
  }

  @Test
  void errorsNameKeyAndRule() {
    assertEquals("budget_ms", faults("budget_ms", 4L).get(0).key());
    assertTrue(faults("budget_ms", 4L).get(0).message().contains("from 5 to 1000"));
    assertTrue(faults("budget_ms", "20").get(0).message().contains("whole number"));
    assertTrue(faults("listen", "localhost:1").get(0).message().contains("IP:PORT"));
    assertTrue(faults("enabeld", true).get(0).message().contains("is no key of [ext_proc]"));
    assertTrue(faults("reserve_ms", 20L).get(0).message().contains("under budget_ms (20)"));
    assertTrue(faults("most_open", 1_000_000L).get(0).message().contains("most_ids"));
    assertTrue(faults("enabled", true, "listen", "").get(0).message().contains("both empty"));
    assertEquals(List.of(), faults("enabled", true, "listen", "", "http_listen", "127.0.0.1:9003"));
    assertEquals(1, faults("http_listen", "127.0.0.1:9002").size());
    assertEquals(
        1,
        faults("destination_header", "", "original_dst_header", "", "metadata_namespace", "")
            .size());
  }
}
