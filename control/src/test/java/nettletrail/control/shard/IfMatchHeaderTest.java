package nettletrail.control.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullAndEmptySource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which If-Match headers name an edition. */
class IfMatchHeaderTest {

  @ParameterizedTest
  @ValueSource(strings = {"5", "\"5\"", "W/\"5\"", " 5 "})
  void givenEdition_whenParsed_thenTheHeaderNamesIt(String header) {
    assertEquals(OptionalLong.of(5), IfMatchHeader.edition(header));
  }

  @ParameterizedTest
  @NullAndEmptySource
  @ValueSource(strings = {"*", "-1", "\"\"", "\"5", "five", "9223372036854775808"})
  void givenNoEdition_whenParsed_thenEmpty(String header) {
    assertEquals(OptionalLong.empty(), IfMatchHeader.edition(header));
  }
}
