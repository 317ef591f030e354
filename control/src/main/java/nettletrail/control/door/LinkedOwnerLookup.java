package nettletrail.control.door;

import java.util.Optional;

/** Looks up owners in the {@link OwnerDirectory}; only those to which the link is up. */
final class LinkedOwnerLookup implements GrantClient.OwnerLookup {
  private final OwnerDirectory owners;
  private final CoreLinks links;

  LinkedOwnerLookup(OwnerDirectory owners, CoreLinks links) {
    this.owners = owners;
    this.links = links;
  }

  @Override
  public Optional<String> owner(int shard, long now) {
    return owners.owner(shard, links::isUp, now);
  }

  @Override
  public void denied(int shard, String address, long now) {
    owners.denied(shard, address, now);
  }
}
