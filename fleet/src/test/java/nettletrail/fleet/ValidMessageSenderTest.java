package nettletrail.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import nettletrail.protocol.Ping;
import org.apache.avro.specific.SpecificRecord;
import org.junit.jupiter.api.Test;

class ValidMessageSenderTest {
  private static final String PEER = "10.0.0.2:7680";
  private static final long END_OF_LEASE = 1_000;

  private final AtomicLong clock = new AtomicLong();
  private final List<SpecificRecord> sent = new ArrayList<>();
  private final ValidMessageSender sender =
      new ValidMessageSender((peer, message) -> sent.add(message), clock::get);

  @Test
  void messageIsSentWhileItIsValid() {
    clock.set(END_OF_LEASE - 1);
    sender.send(PEER, new Ping(1L), END_OF_LEASE);
    assertEquals(List.of(new Ping(1L)), sent);
  }

  @Test
  void messageIsDroppedOnceItsValidityHasEnded() {
    clock.set(END_OF_LEASE);
    sender.send(PEER, new Ping(1L), END_OF_LEASE);
    assertEquals(List.of(), sent);
  }
}
