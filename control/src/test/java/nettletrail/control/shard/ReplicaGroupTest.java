package nettletrail.control.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import nettletrail.protocol.Member;

/** Majorities and ranks of replica groups. */
class ReplicaGroupTest {

  private static ReplicaGroup group(int size) {
    List<Member> members = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      members.add(new Member("m" + index, "10.0.0." + index + ":8665"));
    }
    return new ReplicaGroup(members);
  }

  private static Set<String> subset(ReplicaGroup group, int bits) {
    Set<String> ids = new HashSet<>();
    for (int index = 0; index < group.size(); index++) {
      if ((bits >> index & 1) == 1) {
        ids.add(group.members().get(index).getId());
      }
    }
    return ids;
  }

  @Property
  void givenGroupsThatDifferByOneMember_whenBothHaveMajorities_thenTheseIntersect(
      @ForAll @IntRange(min = 1, max = 8) int size, @ForAll int bits, @ForAll int otherBits) {
    ReplicaGroup smaller = group(size);
    ReplicaGroup larger = smaller.with(new Member("joiner", "10.0.1.1:8665"));
    Set<String> one = subset(smaller, bits);
    Set<String> other = subset(larger, otherBits);
    if (smaller.hasMajority(one) && larger.hasMajority(other)) {
      one.retainAll(other);
      assertFalse(one.isEmpty());
    }
  }

  @Property
  void givenGroup_whenAllMembersAreRanked_thenEachRankOccursOnce(
      @ForAll @IntRange(min = 1, max = 9) int size, @ForAll @IntRange(min = 0, max = 4) int shard) {
    ReplicaGroup group = group(size);
    Set<Integer> ranks = new HashSet<>();
    for (Member member : group.members()) {
      ranks.add(group.rendezvousRank(shard, member.getAddress()));
    }
    assertEquals(size, ranks.size());
  }

  @Property
  void givenInstants_whenMajorityInstantIsComputed_thenAMajorityHasReachedIt(
      @ForAll @IntRange(min = -5, max = 5) int first,
      @ForAll @IntRange(min = -5, max = 5) int second,
      @ForAll @IntRange(min = -5, max = 5) int third) {
    Map<String, Integer> instants = Map.of("m0", first, "m1", second, "m2", third);
    long instant = group(3).majorityInstant(member -> instants.get(member.getId()));
    long reached = instants.values().stream().filter(value -> value >= instant).count();
    long beyond = instants.values().stream().filter(value -> value > instant).count();
    assertTrue(reached >= 2 && beyond < 2);
  }
}
