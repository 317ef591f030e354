package nettletrail.router.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

class PromptPrefixTest {
  @Test
  void theKeyCoversAllSegmentsButTheLast() {
    PromptPrefix prefix = PromptPrefix.parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250", "m");
    assertEquals(1_210, prefix.tokens());
    assertEquals(prefix, PromptPrefix.parse("5c1e07a2:800,91bd3f06:410,ffff:9", "m"));
    assertNotEquals(prefix, PromptPrefix.parse("5c1e07a2:800,91bd3f07:410,e4402b7d:250", "m"));
    assertNotEquals(prefix, PromptPrefix.parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250", "n"));
    assertNotEquals(
        prefix.key(), PromptPrefix.parse("91bd3f06:410,5c1e07a2:800,e4402b7d:250", "m").key());
  }

  @Test
  void withoutSharedSegmentsThereIsNoPrefix() {
    assertEquals(PromptPrefix.NONE, PromptPrefix.parse(null, "m"));
    assertEquals(PromptPrefix.NONE, PromptPrefix.parse("", "m"));
    assertEquals(PromptPrefix.NONE, PromptPrefix.parse("5c1e07a2:800", "m"));
  }

  @Test
  void aMalformedHeaderIsNoPrefix() {
    assertEquals(PromptPrefix.NONE, PromptPrefix.parse("abc,def:1", "m"));
    assertEquals(PromptPrefix.NONE, PromptPrefix.parse("abc:x,def:1", "m"));
    assertEquals(PromptPrefix.NONE, PromptPrefix.parse("abc:99999999999,def:1", "m"));
    assertEquals(PromptPrefix.NONE, PromptPrefix.parse(",,,", "m"));
  }
}
