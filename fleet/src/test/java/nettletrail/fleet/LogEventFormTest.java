package nettletrail.fleet;

import java.io.IOException;
import java.util.Arrays;
import nettletrail.protocol.event.LogEvent;
import org.junit.jupiter.api.Test;

/** The ids of log lines, by which operators' alerts find them. */
class LogEventFormTest {
  @Test
  void idsAreThoseThatWereApproved() throws IOException {
    ApprovedForm.verify(
        "log-event-ids.txt", Arrays.stream(LogEvent.values()).map(LogEvent::id).toList());
  }
}
