package nettletrail.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import nettletrail.control.shard.CoreAction.CommittedConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** What a core process logs about committed configurations. */
class LoggedConfigurationsTest {
  private static final String TENANTS = ",\"senders\":[{\"name\":\"t\",\"passes\":[\"k\"]}]";
  private static final String NO_TENANTS = ",\"senders\":[]";

  private final LoggedConfigurations configurations = new LoggedConfigurations();
  private final ListAppender<ILoggingEvent> appender = new ListAppender<>();
  private final Logger logger = (Logger) LoggerFactory.getLogger(LoggedConfigurations.class);
  private long edition;

  @BeforeEach
  void capture() {
    appender.start();
    logger.addAppender(appender);
  }

  @AfterEach
  void release() {
    logger.detachAppender(appender);
  }

  // Guards against: nobody notices that a configuration lets everyone in.
  @Test
  void givenAConfigurationWithTenants_whenOneWithoutTheListFollows_thenTheOpenedRoutesAreNamed() {
    commit(TENANTS);
    commit(NO_TENANTS);
    assertTrue(warnings().isEmpty());
    commit("");
    commit("");
    String expected =
        "NT505 configuration 3 has no senders: these routes are open to everyone: chat, draft";
    assertEquals(List.of(expected), warnings());
  }

  private List<String> warnings() {
    return appender.list.stream()
        .filter(event -> event.getLevel().isGreaterOrEqual(Level.WARN))
        .map(ILoggingEvent::getFormattedMessage)
        .toList();
  }

  private void commit(String tenants) {
    edition++;
    String route =
        "{\"name\":\"%s\",\"station\":\"a.example\",\"lane_prefix\":\"/%s/\","
            + "\"kind\":\"serial\",\"timeout_ms\":1000,\"carrier\":\"m\"}";
    String json =
        "{\"edition\":"
            + edition
            + ",\"routes\":["
            + route.formatted("chat", "chat")
            + ","
            + route.formatted("draft", "draft")
            + "],\"carriers\":[{\"name\":\"m\"}]"
            + tenants
            + "}";
    byte[] document = json.getBytes(StandardCharsets.UTF_8);
    configurations.limits(
        new CommittedConfiguration(edition, edition, document, ByteBuffer.wrap(document)));
  }
}
