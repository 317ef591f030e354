package nettletrail.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.zip.InflaterInputStream;
import org.junit.jupiter.api.Test;

/** The format of documents on disk and between processes, pinned by committed samples. */
class DocumentFormatTest {
  private static final Path SAMPLES = Path.of("src/test/resources/document-format");
  private static final byte[] TEXT =
      Documents.bytes(
          "{\"edition\":8,\"routes\":[],\"carriers\":[{\"name\":\"a\"},{\"name\":\"b\"}]}");
  private static final byte[] STORED =
      HexFormat.of()
          .parseHex(
              "7801ab564a4dc92cc9cccf53b2b2d0512aca2f2d492d56b28a8ed5514a4e2c2a"
                  + "ca4c2d02f1aa95f212735395ac9412956a75e09c24a5dad85a00b7491501");

  /** The first bytes of a zlib stream: a window of 32 KiB, and the fastest level. */
  private static final String STREAM_HEADER = "7801";

  private static byte[] sample(String name) throws IOException {
    return Files.readAllBytes(SAMPLES.resolve(name));
  }

  @Test
  void givenTheStoredFormOfAnEarlierBuild_whenDecompressed_thenItIsTheText() throws Exception {
    assertArrayEquals(TEXT, CompressedDocument.decompress(ByteBuffer.wrap(STORED)));
  }

  /** Other builds of zlib may choose other blocks, so the complete stream isn't compared. */
  @Test
  void givenAText_whenCompressed_thenItIsAZlibStream() throws IOException {
    byte[] stored = CompressedDocument.compress(TEXT);
    assertEquals(STREAM_HEADER, HexFormat.of().formatHex(stored, 0, 2));
    InflaterInputStream stream = new InflaterInputStream(new ByteArrayInputStream(stored));
    assertArrayEquals(TEXT, stream.readAllBytes());
  }

  @Test
  void givenADocumentAndAPatch_whenPatched_thenTheTextIsTheCommittedOne() throws Exception {
    ConfigurationDocument document = ConfigurationDocument.parse(sample("document.json"));
    ConfigurationDocument patched = document.patched(sample("patch.json"));
    assertEquals(
        new String(sample("patched.json"), StandardCharsets.UTF_8), Documents.text(patched));
  }
}
