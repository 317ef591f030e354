package nettletrail.fleet;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.zip.CRC32C;
import nettletrail.control.grant.QuotaStatus;
import nettletrail.control.registry.BackendStatus;
import nettletrail.control.registry.DoorStatus;
import nettletrail.control.shard.GroupChange;
import nettletrail.control.shard.ShardStatus;
import nettletrail.control.shard.StoredConfiguration;
import nettletrail.protocol.ConfigurationChange;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;

/**
 * The status of a core process as operators read it. Names and order of the components are part of
 * the interface: {@link StatusJson} makes the keys of them. Spans of time are milliseconds.
 */
final class CoreStatusView {
  private CoreStatusView() {}

  /** The answer to a call that failed. */
  record Failure(String error) {}

  /** All doors; {@code core} is the node's name, here and in the other answers. */
  record Doors(String core, List<Door> doors) {}

  /** A door; {@code linked} if a link to it is up. */
  record Door(
      String door,
      String zone,
      boolean live,
      boolean linked,
      boolean draining,
      long configurationSequence,
      long feedOffset,
      long leaseLeftMs) {
    static Door of(DoorStatus status) {
      return new Door(
          status.door(),
          status.zone(),
          status.live(),
          status.linkUp(),
          status.draining(),
          status.configurationSequence(),
          status.feedOffset(),
          status.leaseLeftMs());
    }
  }

  /** All backends. */
  record Backends(String core, List<Backend> backends) {}

  /** A backend; its state is in lower case. */
  record Backend(
      String backend,
      String service,
      String address,
      String zone,
      String state,
      int slots,
      long callSeq,
      long heardAgoMs,
      boolean expired) {
    static Backend of(BackendStatus status) {
      nettletrail.protocol.Backend backend = status.backend();
      return new Backend(
          backend.getId(),
          backend.getService(),
          backend.getAddress(),
          backend.getZone(),
          backend.getState().name().toLowerCase(Locale.ROOT),
          backend.getSlots(),
          backend.getCallSequence(),
          status.lastSeenAgoMs(),
          status.expired());
    }
  }

  /** All shards. */
  record Shards(String core, List<Shard> shards) {}

  /**
   * A shard; owner and token are empty where none is known. {@code lossesTolerated}: how many
   * replicas may be lost now, -1 unless this process is the owner; {@code lastGroupChange}: the
   * latest change of the replicas that this process has made, empty if there is none.
   */
  record Shard(
      int shard,
      String owner,
      boolean ownedHere,
      String token,
      long acceptedSequence,
      long committedSequence,
      long ownerHeardAgoMs,
      List<String> replicas,
      int lossesTolerated,
      String lastGroupChange) {
    /** {@code owner}: the control address of the owner. */
    static Shard of(ShardStatus status, String owner) {
      return new Shard(
          status.shard(),
          owner,
          status.owned(),
          status.token() == null ? "" : token(status.token()),
          status.acceptedSequence(),
          status.committedSequence(),
          status.ownerLastSeenAgoMs(),
          status.replicas().stream().map(Member::getId).toList(),
          status.lossesTolerated(),
          describe(status.lastGroupChange()));
    }

    private static String describe(GroupChange change) {
      if (change == null) {
        return "";
      }
      String kind = change.kind().name().toLowerCase(Locale.ROOT);
      return change.member().getId() + " " + kind;
    }

    private static String token(ProposalNumber proposal) {
      return proposal.getTerm() + "/" + proposal.getNode();
    }
  }

  /** The leases of this process and of the doors. */
  record Leases(String core, List<Lease> leases) {}

  /** A lease with what it is for. */
  record Lease(String lease, String holder, long leftMs) {
    static Lease ofOwner(String node, ShardStatus shard) {
      return new Lease("owner of shard " + shard.shard(), node, shard.leaseLeftMs());
    }

    static Lease ofDoor(DoorStatus door) {
      return new Lease("door", door.door(), door.leaseLeftMs());
    }
  }

  /** A tenant's quota in tokens; {@code capacity} is 0 without a limit. */
  record Quota(
      String core,
      String tenant,
      int shard,
      boolean limited,
      double ratePerS,
      double burst,
      long level,
      long outstanding,
      long capacity,
      int doorsServing) {
    static Quota of(String node, String tenant, int shard, QuotaStatus quota) {
      boolean limited = quota.limit().limited();
      return new Quota(
          node,
          tenant,
          shard,
          limited,
          quota.limit().ratePerSecond(),
          quota.limit().burst(),
          Math.round(quota.level()),
          Math.round(quota.outstanding()),
          limited ? Math.round(quota.capacity()) : 0L,
          quota.doorsServing());
    }
  }

  /** The newest committed configuration with the changes that led to it. */
  record History(String core, long sequence, long edition, List<Change> changes) {
    static History of(String node, StoredConfiguration configuration) {
      return new History(
          node,
          configuration.sequence(),
          configuration.edition(),
          configuration.changes().stream().map(Change::of).toList());
    }
  }

  /** A change with the digest of the operator's request. */
  record Change(long edition, String orderSha256) {
    static Change of(ConfigurationChange change) {
      return new Change(change.getEdition(), hex(change.getDigest()));
    }

    private static String hex(ByteBuffer bytes) {
      byte[] copy = new byte[bytes.remaining()];
      bytes.duplicate().get(copy);
      return HexFormat.of().formatHex(copy);
    }
  }

  /** The configurations on this process's disk. */
  record Versions(String core, List<Version> versions) {}

  /**
   * A stored configuration; the checksum is in hexadecimal. {@code committed}: whether the change
   * that made it is known to be committed; one that isn't may have the edition of one that is.
   */
  record Version(long edition, long sequence, int bytes, String crc32c, boolean committed) {
    static Version of(StoredConfiguration version, boolean committed) {
      CRC32C checksum = new CRC32C();
      checksum.update(version.document());
      return new Version(
          version.edition(),
          version.sequence(),
          version.document().length,
          HexFormat.of().toHexDigits((int) checksum.getValue()),
          committed);
    }
  }
}
