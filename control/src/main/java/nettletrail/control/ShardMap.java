package nettletrail.control;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Maps names to shards: shard 0 is the configuration's, tenants and services are spread over the
 * shards above it by a hash.
 */
public final class ShardMap {
  /** The shard of the configuration. */
  public static final int CONFIGURATION_SHARD = 0;

  /** The number of shards that tenants and services are spread over; the first of them is 1. */
  public static final int NAMED_SHARDS = 4;

  /** The number of all shards, the configuration's included. */
  public static final int SHARD_COUNT = 1 + NAMED_SHARDS;

  private ShardMap() {}

  /**
   * The shard of a tenant or service, 1 to {@link #NAMED_SHARDS}; the same in every process and
   * release.
   */
  public static int shardOf(String name) {
    CRC32C checksum = new CRC32C();
    checksum.update(name.getBytes(StandardCharsets.UTF_8));
    return 1 + (int) (checksum.getValue() % NAMED_SHARDS);
  }
}
