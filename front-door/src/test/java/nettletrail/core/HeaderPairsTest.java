package nettletrail.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class HeaderPairsTest {
  @Test
  void onlyDigitsWithAtMostOnePointAreANumber() {
    String[] none = {
      null,
      "",
      ".",
      "..",
      "1.2.3",
      "1..",
      "-1",
      "+1",
      "1e3",
      "NaN",
      "0x1p3",
      "5d",
      " 1",
      "1 ",
      "\u0661",
      "1234567890123"
    };
    for (String text : none) {
      assertEquals(Double.NaN, HeaderPairs.number(text), text);
      assertEquals(-1, HeaderPairs.wholeNumber(text), text);
    }
    assertEquals(5, HeaderPairs.number("5."));
    assertEquals(0.5, HeaderPairs.number(".5"));
    assertEquals(7, HeaderPairs.wholeNumber("007"));
    assertEquals(-1, HeaderPairs.wholeNumber("7.0"));
    assertEquals(999_999_999_999L, HeaderPairs.wholeNumber("999999999999"));
  }

  @Test
  void numberEqualsTheStandardParsersResult() {
    SplittableRandom random = new SplittableRandom(11);
    for (int i = 0; i < 100_000; i++) {
      String digits = Long.toString(random.nextLong(100_000_000_000L));
      int point = random.nextInt(digits.length() + 1);
      String text = digits.substring(0, point) + "." + digits.substring(point);
      assertEquals(Double.parseDouble(text), HeaderPairs.number(text), text);
    }
  }

  @Test
  void valueIsFoundByItsFullName() {
    String text = "units=2.5, spread=3,first=0,x";
    assertEquals("2.5", HeaderPairs.value(text, "units"));
    assertEquals("3", HeaderPairs.value(text, "spread"));
    assertEquals(null, HeaderPairs.value(text, "nits"));
    assertEquals(null, HeaderPairs.value(text, "x"));
  }
}
