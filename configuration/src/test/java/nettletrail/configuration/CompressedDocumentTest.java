package nettletrail.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** {@link CompressedDocument} restores every text, and rejects damaged and too long streams. */
class CompressedDocumentTest {
  @Test
  void givenTextsOfAnyLength_whenCompressed_thenTheyAreRestoredAndTheBufferIsNotMoved()
      throws Exception {
    SplittableRandom random = new SplittableRandom(1);
    for (int length : new int[] {0, 1, 100, 16 << 10, 300_000}) {
      byte[] text = new byte[length];
      random.nextBytes(text);
      ByteBuffer stored = ByteBuffer.wrap(CompressedDocument.compress(text)).asReadOnlyBuffer();
      assertArrayEquals(text, CompressedDocument.decompress(stored));
      assertEquals(0, stored.position());
    }
  }

  @Test
  void givenADocumentOfManyRoutes_whenCompressed_thenItIsASixthAtMost() {
    StringBuilder routes = new StringBuilder("[");
    SplittableRandom random = new SplittableRandom(2);
    for (int route = 0; route < 800; route++) {
      routes
          .append("{\"name\":\"r-")
          .append(Long.toString(random.nextLong(1L << 30), 36))
          .append("\",\"station\":\"ficu95.example\",\"lane_prefix\":\"/")
          .append(Long.toString(random.nextLong(1L << 30), 36))
          .append("/\",\"kind\":\"serial\",\"timeout_ms\":4000,\"target_ms\":500,\"priority\":1,")
          .append("\"carrier\":\"huvo11a\",\"attempts\":1,\"unstamped\":false,\"sticky\":true,")
          .append("\"resume\":false,\"gap_aim_ms\":200},");
    }
    byte[] text = routes.toString().getBytes(StandardCharsets.UTF_8);
    assertTrue(CompressedDocument.compress(text).length < text.length / 6);
  }

  @Test
  void givenPlainTextOfAnEarlierRelease_whenDecompressed_thenItIsReturnedAsItIs() throws Exception {
    byte[] plain = "{\"edition\":1}".getBytes(StandardCharsets.UTF_8);
    assertArrayEquals(plain, CompressedDocument.decompress(ByteBuffer.wrap(plain)));
  }

  @Test
  void givenADamagedOrTruncatedStream_whenDecompressed_thenItIsRejected() {
    byte[] text = new byte[5_000];
    Arrays.fill(text, (byte) '{');
    byte[] stored = CompressedDocument.compress(text);
    byte[] truncated = Arrays.copyOf(stored, stored.length - 3);
    byte[] changed = stored.clone();
    changed[stored.length - 1] ^= 1;
    for (byte[] bad : new byte[][] {truncated, changed}) {
      assertThrows(
          ConfigurationException.class, () -> CompressedDocument.decompress(ByteBuffer.wrap(bad)));
    }
  }

  @Test
  void givenAStreamWithTooLongAText_whenDecompressed_thenItIsRejected() {
    byte[] stored = CompressedDocument.compress(new byte[CompressedDocument.MAX_TEXT_BYTES + 1]);
    assertThrows(
        ConfigurationException.class, () -> CompressedDocument.decompress(ByteBuffer.wrap(stored)));
  }
}
