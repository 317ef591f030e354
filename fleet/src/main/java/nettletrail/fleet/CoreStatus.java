package nettletrail.fleet;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import nettletrail.control.CoreRegistry;
import nettletrail.control.ShardMap;
import nettletrail.control.grant.QuotaStatus;
import nettletrail.control.shard.CoreShards;
import nettletrail.control.shard.ShardStatus;
import nettletrail.control.shard.StoredConfiguration;
import nettletrail.fleet.CoreStatusView.Backend;
import nettletrail.fleet.CoreStatusView.Backends;
import nettletrail.fleet.CoreStatusView.Door;
import nettletrail.fleet.CoreStatusView.Doors;
import nettletrail.fleet.CoreStatusView.Failure;
import nettletrail.fleet.CoreStatusView.History;
import nettletrail.fleet.CoreStatusView.Lease;
import nettletrail.fleet.CoreStatusView.Leases;
import nettletrail.fleet.CoreStatusView.Quota;
import nettletrail.fleet.CoreStatusView.Shard;
import nettletrail.fleet.CoreStatusView.Shards;
import nettletrail.fleet.CoreStatusView.Version;
import nettletrail.fleet.CoreStatusView.Versions;
import nettletrail.fleet.http.ControlServer;
import nettletrail.fleet.settings.FleetSettings;
import nettletrail.protocol.ShardVersion;

/**
 * Answers operators' requests for the state of a core process, as JSON. Changes nothing, and no
 * daemon calls it. On the event loop; what has to be read from the disk is read on the storage
 * thread.
 *
 * <p>Everything is what this process knows; another one may know more. {@code quota} alone is
 * answered by the owner of the tenant's shard, and redirected there by the others.
 */
final class CoreStatus {
  private static final String PATH = "/nettletrail/status/";
  private static final String DOORS = "doors";
  private static final String BACKENDS = "backends";
  private static final String SHARDS = "shards";
  private static final String LEASES = "leases";
  private static final String QUOTA_PREFIX = "quota/";
  private static final String HISTORY = "config/history";
  private static final String VERSIONS = "config/versions";
  private static final String VERSION_PREFIX = VERSIONS + "/";

  private final FleetSettings settings;
  private final CoreShards shards;
  private final CoreRegistry registry;
  private final StorageThread storage;
  private final ControlServer server;

  CoreStatus(
      FleetSettings settings,
      CoreShards shards,
      CoreRegistry registry,
      StorageThread storage,
      ControlServer server) {
    this.settings = settings;
    this.shards = shards;
    this.registry = registry;
    this.storage = storage;
    this.server = server;
  }

  /** Answers a call, now or once the disk was read. */
  void answer(long call, String resource) {
    long now = System.nanoTime();
    if (resource.startsWith(QUOTA_PREFIX)) {
      quota(call, resource.substring(QUOTA_PREFIX.length()), now);
      return;
    }
    if (resource.startsWith(VERSION_PREFIX)) {
      version(call, resource.substring(VERSION_PREFIX.length()));
      return;
    }
    switch (resource) {
      case DOORS -> respond(call, doors(now));
      case BACKENDS -> respond(call, backends(now));
      case SHARDS -> respond(call, shards(now));
      case LEASES -> respond(call, leases(now));
      case HISTORY -> history(call);
      case VERSIONS -> versions(call);
      default -> error(call, HttpResponseStatus.NOT_FOUND, "no such status");
    }
  }

  private Doors doors(long now) {
    return new Doors(settings.node(), registry.doorStatus(now).stream().map(Door::of).toList());
  }

  private Backends backends(long now) {
    return new Backends(
        settings.node(), registry.backendStatus(now).stream().map(Backend::of).toList());
  }

  private Shards shards(long now) {
    List<Shard> list = new ArrayList<>();
    for (ShardStatus shard : shards.status(now)) {
      list.add(Shard.of(shard, controlAddress(shard.ownerAddress())));
    }
    return new Shards(settings.node(), list);
  }

  private Leases leases(long now) {
    List<Lease> list = new ArrayList<>();
    for (ShardStatus shard : shards.status(now)) {
      if (shard.owned()) {
        list.add(Lease.ofOwner(settings.node(), shard));
      }
    }
    registry.doorStatus(now).forEach(door -> list.add(Lease.ofDoor(door)));
    return new Leases(settings.node(), list);
  }

  private void quota(long call, String tenant, long now) {
    int shard = ShardMap.shardOf(tenant);
    if (shards.owns(shard, now)) {
      Optional<QuotaStatus> quota = registry.quotaStatus(tenant, now);
      if (quota.isPresent()) {
        respond(call, Quota.of(settings.node(), tenant, shard, quota.get()));
      } else {
        error(
            call,
            HttpResponseStatus.NOT_FOUND,
            "no tenant of that name has asked or is configured");
      }
      return;
    }
    String owner = controlAddress(shards.ownerAddress(shard, now));
    if (owner.isEmpty()) {
      error(call, HttpResponseStatus.SERVICE_UNAVAILABLE, "shard " + shard + " has no known owner");
    } else {
      server.redirect(call, "http://" + owner + PATH + QUOTA_PREFIX + tenant);
    }
  }

  private void history(long call) {
    withCommitted(call, committed -> respond(call, History.of(settings.node(), committed)));
  }

  /** Answers with 503 while no committed version is known here. */
  private void withCommitted(long call, Consumer<StoredConfiguration> answer) {
    StoredConfiguration committed = shards.configuration();
    if (committed == null) {
      error(call, HttpResponseStatus.SERVICE_UNAVAILABLE, "no committed version is known here yet");
    } else {
      answer.accept(committed);
    }
  }

  private void versions(long call) {
    storage.readVersions(
        ShardMap.CONFIGURATION_SHARD,
        versions ->
            withCommitted(
                call, committed -> respond(call, versionsView(stored(versions), committed))),
        failure -> diskFailed(call, failure));
  }

  private void version(long call, String edition) {
    storage.readVersions(
        ShardMap.CONFIGURATION_SHARD,
        versions ->
            withCommitted(call, committed -> document(call, edition, stored(versions), committed)),
        failure -> diskFailed(call, failure));
  }

  private Versions versionsView(List<StoredConfiguration> versions, StoredConfiguration committed) {
    return new Versions(
        settings.node(),
        versions.stream()
            .map(version -> Version.of(version, version.isCommittedIn(committed)))
            .toList());
  }

  private static List<StoredConfiguration> stored(List<ShardVersion> versions) {
    return versions.stream()
        .map(StoredConfiguration::of)
        .filter(each -> each.edition() > 0)
        .toList();
  }

  /**
   * Answers with the committed document of an edition; one that was never committed is no answer.
   */
  private void document(
      long call,
      String edition,
      List<StoredConfiguration> versions,
      StoredConfiguration committed) {
    String reason = "edition " + edition + " isn't on this disk any more";
    for (StoredConfiguration version : versions) {
      if (!Long.toString(version.edition()).equals(edition)) {
        continue;
      }
      if (version.isCommittedIn(committed)) {
        server.answer(call, HttpResponseStatus.OK.code(), version.document());
        return;
      }
      reason = "edition " + edition + " as it is on this disk was never committed";
    }
    error(call, HttpResponseStatus.NOT_FOUND, reason);
  }

  private void diskFailed(long call, String failure) {
    error(call, HttpResponseStatus.INTERNAL_SERVER_ERROR, failure);
  }

  private void respond(long call, Record view) {
    server.answer(call, HttpResponseStatus.OK.code(), StatusJson.write(view));
  }

  private void error(long call, HttpResponseStatus status, String reason) {
    server.answer(call, status.code(), StatusJson.write(new Failure(reason)));
  }

  /** All machines of the core use the same ports. */
  private String controlAddress(String internalAddress) {
    String own = settings.controlGate().orElse("");
    if (internalAddress.isEmpty() || own.isEmpty()) {
      return "";
    }
    String host = internalAddress.substring(0, internalAddress.lastIndexOf(':'));
    return host + own.substring(own.lastIndexOf(':'));
  }
}
