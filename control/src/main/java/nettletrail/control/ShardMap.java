package nettletrail.control;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Which shard a name belongs to: shard 0 holds the configuration, tenants and services hash to the
 * shards above it.
 */
public final class ShardMap {
  /** The shard that holds the configuration. */
  public static final int CONFIGURATION_SHARD = 0;

  /** How many shards tenants and services are spread over; they are numbered from 1. */
  public static final int NAMED_SHARDS = 4;

  /** All shards, the configuration's included. */
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
