package nettletrail.control;

import java.nio.ByteBuffer;
import nettletrail.protocol.ConfigurationChunk;
import nettletrail.protocol.DoorHeartbeat;
import nettletrail.protocol.DoorHeartbeatReply;

/** Messages between doors and core processes, for tests. */
public final class TestMessages {
  /** The zone of every core process that replies. */
  public static final String ZONE = "zone";

  private TestMessages() {}

  /** A complete configuration in one chunk; its edition is its sequence. */
  public static ConfigurationChunk configuration(long sequence) {
    return chunk(sequence, 1, 0, new byte[] {1});
  }

  /** A chunk of a configuration of {@code size} bytes; its edition is its sequence. */
  public static ConfigurationChunk chunk(long sequence, int size, int offset, byte[] content) {
    return new ConfigurationChunk(sequence, sequence, size, offset, ByteBuffer.wrap(content));
  }

  /** A chunk with a new sequence only: the document of this edition is unchanged. */
  public static ConfigurationChunk renumbered(long sequence, long edition) {
    return new ConfigurationChunk(sequence, edition, 0, 0, ByteBuffer.allocate(0));
  }

  /**
   * A reply without a directory.
   *
   * @param sentAt when the door sent the heartbeat, on its clock
   * @param ageMs how long before that a majority confirmed the sequence
   */
  public static DoorHeartbeatReply reply(String core, long sentAt, long ageMs, long sequence) {
    return reply(core, ZONE, sentAt, ageMs, sequence);
  }

  /** A reply without a directory, from a core process in this zone. */
  public static DoorHeartbeatReply reply(
      String core, String zone, long sentAt, long ageMs, long sequence) {
    return new DoorHeartbeatReply(core, sentAt, true, ageMs, sequence, 1L, 0L, 1, zone, null);
  }

  /** A heartbeat of a door that has read no feed. */
  public static DoorHeartbeat heartbeat(
      String door, long sentAt, long doorSequence, boolean source) {
    return new DoorHeartbeat(door, ZONE, 1L, sentAt, doorSequence, 0L, 0L, false, source, 0L);
  }
}
