package nettletrail.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.zip.CRC32C;
import nettletrail.control.grant.QuotaStatus;
import nettletrail.control.registry.BackendStatus;
import nettletrail.control.registry.DoorStatus;
import nettletrail.control.shard.ShardStatus;
import nettletrail.control.shard.StoredConfiguration;
import nettletrail.protocol.Backend;
import nettletrail.protocol.ConfigurationChange;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;

/** The status views as objects for JSON; the names of their fields are part of the interface. */
final class CoreStatusJson {
  private CoreStatusJson() {}

  static List<Map<String, Object>> doors(List<DoorStatus> doors) {
    List<Map<String, Object>> list = new ArrayList<>();
    for (DoorStatus door : doors) {
      Map<String, Object> json = new LinkedHashMap<>();
      json.put("door", door.door());
      json.put("zone", door.zone());
      json.put("live", door.live());
      json.put("linked", door.linkUp());
      json.put("draining", door.draining());
      json.put("configuration_sequence", door.configurationSequence());
      json.put("feed_offset", door.feedOffset());
      json.put("lease_left_ms", door.leaseLeftMs());
      list.add(json);
    }
    return list;
  }

  static List<Map<String, Object>> backends(List<BackendStatus> backends) {
    List<Map<String, Object>> list = new ArrayList<>();
    for (BackendStatus status : backends) {
      Backend backend = status.backend();
      Map<String, Object> json = new LinkedHashMap<>();
      json.put("backend", backend.getId());
      json.put("service", backend.getService());
      json.put("address", backend.getAddress());
      json.put("zone", backend.getZone());
      json.put("state", backend.getState().name().toLowerCase(Locale.ROOT));
      json.put("slots", backend.getSlots());
      json.put("call_seq", backend.getCallSequence());
      json.put("heard_ago_ms", status.lastSeenAgoMs());
      json.put("expired", status.expired());
      list.add(json);
    }
    return list;
  }

  /** {@code owner}: the control address of the owner, empty if none is known. */
  static Map<String, Object> shard(ShardStatus shard, String owner) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("shard", shard.shard());
    json.put("owner", owner);
    json.put("owned_here", shard.owned());
    json.put("token", shard.token() == null ? "" : token(shard.token()));
    json.put("accepted_sequence", shard.acceptedSequence());
    json.put("committed_sequence", shard.committedSequence());
    json.put("owner_heard_ago_ms", shard.ownerLastSeenAgoMs());
    json.put("replicas", shard.replicas().stream().map(Member::getId).toList());
    return json;
  }

  static Map<String, Object> ownerLease(String node, ShardStatus shard) {
    return lease("owner of shard " + shard.shard(), node, shard.leaseLeftMs());
  }

  static List<Map<String, Object>> doorLeases(List<DoorStatus> doors) {
    return doors.stream().map(door -> lease("door", door.door(), door.leaseLeftMs())).toList();
  }

  private static Map<String, Object> lease(String kind, String holder, long leftMs) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("lease", kind);
    json.put("holder", holder);
    json.put("left_ms", leftMs);
    return json;
  }

  static Map<String, Object> quota(String node, String tenant, int shard, QuotaStatus quota) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("core", node);
    json.put("tenant", tenant);
    json.put("shard", shard);
    json.put("limited", quota.limit().limited());
    json.put("rate_per_s", quota.limit().ratePerSecond());
    json.put("burst", quota.limit().burst());
    json.put("level", Math.round(quota.level()));
    json.put("outstanding", Math.round(quota.outstanding()));
    json.put("capacity", quota.limit().limited() ? Math.round(quota.capacity()) : 0L);
    json.put("doors_serving", quota.doorsServing());
    return json;
  }

  static Map<String, Object> history(String node, StoredConfiguration configuration) {
    List<Map<String, Object>> changes = new ArrayList<>();
    for (ConfigurationChange change : configuration.changes()) {
      Map<String, Object> entry = new LinkedHashMap<>();
      entry.put("edition", change.getEdition());
      entry.put("order_sha256", hex(change.getDigest()));
      changes.add(entry);
    }
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("core", node);
    json.put("sequence", configuration.sequence());
    json.put("edition", configuration.edition());
    json.put("changes", changes);
    return json;
  }

  static List<Map<String, Object>> versions(List<StoredConfiguration> versions) {
    List<Map<String, Object>> list = new ArrayList<>();
    for (StoredConfiguration version : versions) {
      CRC32C checksum = new CRC32C();
      checksum.update(version.document());
      Map<String, Object> json = new LinkedHashMap<>();
      json.put("edition", version.edition());
      json.put("sequence", version.sequence());
      json.put("bytes", version.document().length);
      json.put("crc32c", HexFormat.of().toHexDigits((int) checksum.getValue()));
      list.add(json);
    }
    return list;
  }

  private static String token(ProposalNumber proposal) {
    return proposal.getTerm() + "/" + proposal.getNode();
  }

  private static String hex(ByteBuffer bytes) {
    byte[] copy = new byte[bytes.remaining()];
    bytes.duplicate().get(copy);
    return HexFormat.of().formatHex(copy);
  }
}
