package nettletrail.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import nettletrail.decision.InvalidInputException;
import org.junit.jupiter.api.Test;

class SimulatorAdapterTest {
  private static final String SETTINGS =
      """
            Balancers=1
            Unheard.Of=7
            Services.count=1
            Services.0.Aim=2500000000
            Services.0.Effect=free
            TiersOfService.count=1
            """;

  private static ByteBuffer frame(int records, int tail) {
    int length = records * 56 + tail;
    return ByteBuffer.allocate(20 + length)
        .order(ByteOrder.LITTLE_ENDIAN)
        .putInt(0, 9)
        .putInt(4, length)
        .putLong(8, 5_000_000_000L)
        .putInt(16, records);
  }

  /** Starts instance 3, lists one backend, and sends a request with a deadline of 5 s. */
  private static ByteBuffer opening(String settings) {
    return opening(settings, 77, 0x12034a07);
  }

  /** The same with these backends. */
  private static ByteBuffer opening(String settings, long seed, int... backends) {
    byte[] text = settings.getBytes(StandardCharsets.UTF_8);
    ByteBuffer frame = frame(3, text.length + 23 * backends.length);
    frame
        .putShort(20, (short) 1000)
        .putShort(22, (short) 3)
        .putLong(24, seed)
        .putInt(32, 0)
        .putInt(36, text.length);
    frame
        .putShort(76, (short) 1010)
        .putShort(78, (short) 3)
        .put(88, (byte) 2)
        .putInt(89, text.length)
        .putInt(93, backends.length);
    frame
        .putShort(132, (short) 1020)
        .putShort(134, (short) 3)
        .putLong(136, 4321)
        .putFloat(148, 1)
        .putLong(152, 5_000_000_000L)
        .putFloat(160, 1)
        .putLong(164, 8);
    frame.position(188).put(text);
    for (int i = 0; i < backends.length; i++) {
      frame
          .position(188 + text.length + 23 * i)
          .putInt(backends[i])
          .position(frame.position() + 6)
          .put((byte) 1)
          .putFloat(1);
    }
    return frame;
  }

  private static byte[] run(byte[] input) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter(new ByteArrayInputStream(input), out).run();
    return out.toByteArray();
  }

  private static String fault(ByteBuffer input) {
    return assertThrows(InvalidInputException.class, () -> run(input.array())).getMessage();
  }

  @Test
  void emptyBatchGetsAnEmptyReply() throws IOException {
    byte[] reply = run(frame(0, 0).array());
    assertArrayEquals(new byte[] {9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, reply);
    assertEquals(0, run(new byte[0]).length, "end of input is a clean end");
  }

  @Test
  void requestIsSentToTheBackend() throws IOException {
    ByteBuffer reply =
        ByteBuffer.wrap(run(opening(SETTINGS).array())).order(ByteOrder.LITTLE_ENDIAN);
    assertEquals(1, reply.getInt(4));
    assertEquals(12 + 24, reply.limit());
    assertEquals(1110, reply.getShort(12));
    assertEquals(3, reply.getShort(14));
    assertEquals(4321, reply.getLong(16));
    assertEquals(0x12034a07, reply.getInt(24));
  }

  /**
   * Each of two gateways uses one of two backends, for any seed; without an index, or with the
   * aperture off, both.
   */
  @Test
  void gatewayWithAnIndexUsesOnlyItsAperture() throws IOException {
    String two =
        SETTINGS.replace("Balancers=1", "Balancers=2")
            + "Aperture.Least=1\nAperture.DoorsPerBackend=1\n";
    Set<Integer> first = sentTo(two + "Index=0\n");
    Set<Integer> second = sentTo(two + "Index=1\n");
    assertEquals(1, first.size());
    assertEquals(1, second.size());
    assertNotEquals(first, second);
    assertEquals(Set.of(5, 6), sentTo(two));
    assertEquals(Set.of(5, 6), sentTo(two + "Index=2\n"));
    assertEquals(Set.of(5, 6), sentTo(two + "Index=0\nAperture.Enabled=false\n"));
  }

  private static Set<Integer> sentTo(String settings) throws IOException {
    Set<Integer> sentTo = new HashSet<>();
    for (long seed = 1; seed <= 20; seed++) {
      ByteBuffer reply =
          ByteBuffer.wrap(run(opening(settings, seed, 5, 6).array()))
              .order(ByteOrder.LITTLE_ENDIAN);
      assertEquals(1110, reply.getShort(12));
      sentTo.add(reply.getInt(24));
    }
    return sentTo;
  }

  @Test
  void malformedFrameIsReported() {
    assertEquals(
        "batch 9: input ended inside the frame",
        fault(ByteBuffer.wrap(Arrays.copyOf(frame(1, 0).array(), 40))));
    assertEquals("input ended inside a batch header, after 7 bytes", fault(ByteBuffer.allocate(7)));
    assertEquals("batch 9: 5 records do not fit in 0 bytes", fault(frame(0, 0).putInt(16, 5)));
    assertEquals(
        "batch 9, record 0: unknown event code 1234",
        fault(frame(1, 0).putShort(20, (short) 1234)));
    assertEquals(
        "batch 9, record 0: event 1060 for instance 4, which was never started",
        fault(frame(1, 0).putShort(20, (short) 1060).putShort(22, (short) 4)));
    assertTrue(fault(opening(SETTINGS).putInt(36, 5000)).contains("run past the end of the frame"));
  }

  @Test
  void malformedSettingsAreReported() {
    assertEquals(
        "batch 9, record 0 (start of instance 3): settings: malformed value 'many' of Balancers",
        fault(opening(SETTINGS.replace("Balancers=1", "Balancers=many"))));
    assertTrue(
        fault(opening(SETTINGS + "Obligations.ColdFrom=-1\n"))
            .contains("Settings.coldCapacityShare"));
  }

  @Test
  void exceptionInTheModuleIsReported() throws IOException {
    ByteBuffer reply =
        ByteBuffer.wrap(run(opening(SETTINGS).putFloat(160, -1).array()))
            .order(ByteOrder.LITTLE_ENDIAN);
    assertEquals(1100, reply.getShort(12));
    assertTrue(
        new String(reply.array(), 36, reply.limit() - 36, StandardCharsets.UTF_8)
            .contains("Request.units"));
  }
}
