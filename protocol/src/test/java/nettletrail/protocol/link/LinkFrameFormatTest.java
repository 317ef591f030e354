package nettletrail.protocol.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.HexFormat;
import java.util.concurrent.TimeUnit;
import nettletrail.protocol.VersionQuery;
import nettletrail.protocol.link.LinkProcess.Event;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The bytes of frames on a connection: four bytes of length, the highest first and not counting
 * themselves, then one envelope.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LinkFrameFormatTest {
  /** Node "core", address "10.0.0.1:7680", role "core", incarnation 1, version 1. */
  private static final String HELLO_OF_CORE =
      "0000001b"
          + "00"
          + "08636f7265"
          + "1a31302e302e302e313a37363830"
          + "08636f7265"
          + "02"
          + "02";

  /** Node "d", no address, role "door", incarnation 1, version 1. */
  private static final String HELLO_OF_DOOR =
      "0000000b" + "00" + "0264" + "00" + "08646f6f72" + "02" + "02";

  /** Kind 14, shard 300. */
  private static final String VERSION_QUERY = "00000003" + "1c" + "d804";

  private static byte[] bytes(String hex) {
    return HexFormat.of().parseHex(hex);
  }

  @Test
  void framesAreWrittenAndReadInTheCommittedBytes() throws Exception {
    try (LinkProcess core = LinkProcess.core("10.0.0.1:7680")) {
      String address = core.listen("127.0.0.1:0");
      int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
      try (Socket socket = new Socket("127.0.0.1", port)) {
        byte[] hello = socket.getInputStream().readNBytes(HELLO_OF_CORE.length() / 2);
        assertEquals(HELLO_OF_CORE, HexFormat.of().formatHex(hello));

        socket.getOutputStream().write(bytes(HELLO_OF_DOOR));
        assertEquals("d", core.next(Event.Up.class).peer().key());

        socket.getOutputStream().write(bytes(VERSION_QUERY));
        assertEquals(new VersionQuery(300), core.next(Event.Received.class).body());

        core.send("d", new VersionQuery(300));
        byte[] query = socket.getInputStream().readNBytes(VERSION_QUERY.length() / 2);
        assertEquals(VERSION_QUERY, HexFormat.of().formatHex(query));
      }
    }
  }
}
