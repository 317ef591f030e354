package nettletrail.control;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import nettletrail.protocol.Member;
import nettletrail.protocol.ProposalNumber;

/** The owners of the shards as tests set them, as one core process sees them. */
class SimulatedOwnership implements ShardOwnership {
  final String address;
  OptionalLong confirmedAt = OptionalLong.empty();
  long configurationSequence;
  private final Supplier<Owners> owners;
  private final Supplier<Set<String>> coreNames;

  /**
   * The owners of all shards at one instant.
   *
   * @param byShard the owner's address
   * @param terms the term of each owner's proposal number, by shard
   * @param paused whether nobody owns anything
   */
  record Owners(Map<Integer, String> byShard, Map<Integer, Long> terms, boolean paused) {}

  SimulatedOwnership(String address, Supplier<Owners> owners, Supplier<Set<String>> coreNames) {
    this.address = address;
    this.owners = owners;
    this.coreNames = coreNames;
  }

  @Override
  public boolean owns(int shard, long at) {
    Owners now = owners.get();
    return address.equals(now.byShard().get(shard)) && !now.paused();
  }

  @Override
  public ProposalNumber token(int shard) {
    return new ProposalNumber(owners.get().terms().get(shard), address);
  }

  @Override
  public String ownerAddress(int shard) {
    Owners now = owners.get();
    return now.paused() ? "" : now.byShard().getOrDefault(shard, "");
  }

  @Override
  public List<Member> members() {
    return coreNames.get().stream().map(name -> new Member(name + "#0", name)).toList();
  }

  @Override
  public int shardCount() {
    return ShardMap.SHARD_COUNT;
  }

  @Override
  public OptionalLong confirmedAt() {
    return confirmedAt;
  }

  @Override
  public long configurationSequence() {
    return configurationSequence;
  }
}
