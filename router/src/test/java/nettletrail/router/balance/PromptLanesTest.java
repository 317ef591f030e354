package nettletrail.router.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import nettletrail.configuration.Engine;
import nettletrail.router.BackendEndpoint;
import org.junit.jupiter.api.Test;

class PromptLanesTest {
  private static final Engine ENGINE = new Engine(16, 390_000, 10, List.of("m"));
  private static final int LONG_PROMPT = 17_000;
  private static final int SHORT_PROMPT = 380;

  private final SplittableRandom random = new SplittableRandom(5);

  private static List<BackendEndpoint> engines(int count, int from) {
    List<BackendEndpoint> engines = new ArrayList<>();
    for (int number = from; number < from + count; number++) {
      String id = "i-" + number;
      engines.add(
          new BackendEndpoint(id, InetSocketAddress.createUnresolved(id, 1), "zone", 16, 0));
    }
    return engines;
  }

  private static BackendChoice request(long prompt, long prefix, String... tried) {
    PromptPrefix shared = new PromptPrefix(prefix, prompt / 2);
    return new BackendChoice(shared, prompt, prompt + 60, List.of(tried));
  }

  private String send(ServiceBackends backends, long prompt, long prefix) {
    return backends.choose(request(prompt, prefix), ENGINE, 75, 0).endpoint().id();
  }

  /** The usual mix: one long prompt among ten. */
  private void mixed(
      ServiceBackends backends, int count, Set<String> longOnes, Set<String> shorts) {
    for (int index = 0; index < count; index++) {
      boolean isLong = index % 10 == 3;
      int prompt = isLong ? LONG_PROMPT : SHORT_PROMPT;
      (isLong ? longOnes : shorts).add(send(backends, prompt, 1 + random.nextInt(100_000)));
    }
  }

  @Test
  void givenLongAndShortPromptsWhenBothAreKnownThenNoEngineGetsBoth() {
    ServiceBackends backends = new ServiceBackends("zone", 1);
    backends.update(engines(42, 0));
    mixed(backends, 40, new HashSet<>(), new HashSet<>());
    Set<String> longOnes = new HashSet<>();
    Set<String> shorts = new HashSet<>();
    mixed(backends, 2_000, longOnes, shorts);
    assertTrue(longOnes.stream().noneMatch(shorts::contains));
    assertTrue(longOnes.size() > shorts.size(), longOnes.size() + " and " + shorts.size());
    assertTrue(shorts.size() >= 8, "only " + shorts.size());
  }

  @Test
  void givenTwoDoorsWhenTheySeeOtherRequestsThenTheyDivideTheEnginesNearlyAlike() {
    Set<String> longAtOne = new HashSet<>();
    Set<String> shortAtOther = new HashSet<>();
    for (int door = 0; door < 2; door++) {
      ServiceBackends backends = new ServiceBackends("zone", door);
      backends.update(engines(42, 0));
      mixed(backends, 60 + 35 * door, new HashSet<>(), new HashSet<>());
      mixed(
          backends,
          1_000,
          door == 0 ? longAtOne : new HashSet<>(),
          door == 1 ? shortAtOther : new HashSet<>());
    }
    longAtOne.retainAll(shortAtOther);
    assertTrue(longAtOne.size() <= 6, longAtOne + " get both");
  }

  @Test
  void givenPromptsOfOneSizeWhenTheyAreSentThenAllEnginesGetThem() {
    ServiceBackends backends = new ServiceBackends("zone", 1);
    backends.update(engines(42, 0));
    Set<String> used = new HashSet<>();
    for (int index = 0; index < 3_000; index++) {
      used.add(send(backends, 1_000 + random.nextInt(3_000), 1 + random.nextInt(100_000)));
    }
    assertEquals(42, used.size());
  }

  @Test
  void givenFewEnginesWhenPromptsDifferThenAllEnginesGetBoth() {
    ServiceBackends backends = new ServiceBackends("zone", 1);
    backends.update(engines(6, 0));
    Set<String> shorts = new HashSet<>();
    mixed(backends, 2_000, new HashSet<>(), shorts);
    assertEquals(6, shorts.size());
  }

  @Test
  void givenMostOfALaneTriedWhenItIsChosenFromThenTheOtherLaneHelps() {
    ServiceBackends backends = new ServiceBackends("zone", 1);
    backends.update(engines(12, 0));
    Set<String> shorts = new HashSet<>();
    mixed(backends, 600, new HashSet<>(), new HashSet<>());
    mixed(backends, 600, new HashSet<>(), shorts);
    String[] tried = shorts.toArray(String[]::new);
    String helper = backends.choose(request(SHORT_PROMPT, 7, tried), ENGINE, 75, 0).endpoint().id();
    assertFalse(shorts.contains(helper));
  }

  @Test
  void givenAPrefixThatAnEngineHoldsWhenTheDivisionIsMadeThenItStillGoesThere() {
    ServiceBackends backends = new ServiceBackends("zone", 1);
    backends.update(engines(42, 0));
    Set<String> before = new HashSet<>();
    for (int prefix = 1; prefix <= 10; prefix++) {
      before.add(send(backends, LONG_PROMPT, prefix));
    }
    mixed(backends, 300, new HashSet<>(), new HashSet<>());
    for (int prefix = 1; prefix <= 10; prefix++) {
      assertTrue(before.contains(send(backends, LONG_PROMPT, prefix)));
    }
  }
}
