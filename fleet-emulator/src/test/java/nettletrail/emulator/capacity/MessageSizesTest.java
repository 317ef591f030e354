package nettletrail.emulator.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The sizes that the page of capacity is worked out from. */
class MessageSizesTest {
  private final Map<String, MessageSizes.Size> sizes =
      MessageSizes.measure().stream()
          .collect(Collectors.toMap(MessageSizes.Size::message, Function.identity()));

  @Test
  void givenALongListWhenEncodedThenItsSizeLiesOnTheLine() {
    int backends = 600;

    double predicted = sizes.get("FeedSnapshot").with(backends);
    int encoded = MessageSizes.framedBytes(SampleMessages.feedSnapshot(backends));

    assertEquals(encoded, predicted, encoded * 0.02);
  }

  @Test
  void givenAWholeConfigurationWhenEncodedThenItsSizeLiesOnTheLine() {
    int tenants = 2_000;

    double predicted = sizes.get("ConfigurationChunk").with(tenants);
    int encoded =
        MessageSizes.framedBytes(
            SampleMessages.configurationChunk(SampleDocument.complete(1_000, tenants)));

    assertEquals(encoded, predicted, encoded * 0.02);
  }

  @Test
  void givenTheMessagesOfAHeartbeatWhenEncodedThenTheyStayWithinTheirShareOfTheBudget() {
    double both =
        sizes.get("DoorHeartbeat").fixedBytes() + sizes.get("DoorHeartbeatReply").fixedBytes();

    assertTrue(both <= 450, "a heartbeat and its reply take " + both + " bytes");
  }
}
