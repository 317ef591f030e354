package nettletrail.control.shard;

import static nettletrail.control.shard.SimulatedCluster.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.SplittableRandom;
import nettletrail.configuration.CompressedDocument;
import nettletrail.protocol.PreVote;
import org.junit.jupiter.api.Test;

/** Catch-up of a replica that is behind, while the configuration changes continuously. */
class CatchUpTest {

  private static final int DOCUMENT_BYTES = 100_000;
  private static final int SLOW_LINK_BYTES_PER_SECOND = 200_000;
  private static final long CHANGE_PERIOD = millis(50);
  private static final int CHANGES = 400;

  /** The transmission time of four documents on the slow link, and a margin. */
  private static final long CATCH_UP_LIMIT = millis(2_500);

  /** Random letters, so that the document stays large when it is compressed. */
  private static final String TEXT = randomText();

  private static final int STORED_BYTES =
      CompressedDocument.compress(TEXT.getBytes(StandardCharsets.UTF_8)).length;

  private static String randomText() {
    byte[] bytes = new byte[DOCUMENT_BYTES * 3 / 4];
    new SplittableRandom(1).nextBytes(bytes);
    return Base64.getEncoder().encodeToString(bytes);
  }

  /**
   * Changes the configuration at a steady pace, each change at one machine, each after the one
   * before.
   */
  private static final class SteadyChanges {
    private final SimulatedCluster cluster;
    private final SimulatedOperatorClient operator;
    private final SimulatedCore core;
    private final int changes;
    private long edition;
    private int rejected;

    SteadyChanges(SimulatedCluster cluster, SimulatedCore core, int changes) {
      this.cluster = cluster;
      this.operator = new SimulatedOperatorClient(cluster);
      this.core = core;
      this.changes = changes;
    }

    /** Makes all changes; each is acknowledged before the next is sent. */
    void run() {
      for (int change = 0; change < changes; change++) {
        long end = cluster.now() + CHANGE_PERIOD;
        long next = edition + 1;
        String document = next + " " + TEXT;
        rejected += operator.put(core, edition, document) == OperatorResponses.OK ? 0 : 1;
        edition = next;
        cluster.runFor(Math.max(0, end - cluster.now()));
      }
      assertEquals(0, rejected, "changes that were rejected");
    }

    long edition() {
      return edition;
    }
  }

  private static long acceptedEdition(SimulatedCore core) {
    return ConfigurationState.decode(core.disk.shards().get(0).version().getValue()).edition();
  }

  private static long bytesTo(SimulatedCluster cluster, SimulatedCore core) {
    long bytes = 0;
    for (SimulatedCore other : cluster.cores()) {
      bytes += cluster.bandwidth().carried(SimulatedCluster.link(other.address, core.address));
    }
    return bytes;
  }

  private static void limitLinksTo(SimulatedCluster cluster, SimulatedCore core) {
    for (SimulatedCore other : cluster.cores()) {
      String link = SimulatedCluster.link(other.address, core.address);
      cluster.bandwidth().limit(link, SLOW_LINK_BYTES_PER_SECOND);
    }
  }

  private static long longestQueueTo(SimulatedCluster cluster, SimulatedCore core) {
    long longest = 0;
    for (SimulatedCore other : cluster.cores()) {
      String link = SimulatedCluster.link(other.address, core.address);
      longest = Math.max(longest, cluster.bandwidth().longestQueue(link));
    }
    return longest;
  }

  @Test
  void givenSlowLink_whenLargeDocumentsChangeContinuously_thenNoVersionQueuesBehindAnother() {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(31, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    SimulatedCore owner = operator.awaitOwner();
    SimulatedCore slow = operator.followers().get(0);
    limitLinksTo(cluster, slow);
    SteadyChanges changes = new SteadyChanges(cluster, owner, CHANGES);
    changes.run();
    long oneDocument = STORED_BYTES * 1_000_000_000L / SLOW_LINK_BYTES_PER_SECOND;
    long longest = longestQueueTo(cluster, slow);
    assertTrue(longest <= 22 * oneDocument / 10, "waited on the link: " + longest / 1e9 + " s");
    cluster.runFor(CATCH_UP_LIMIT);
    assertEquals(changes.edition(), acceptedEdition(slow));
    assertEquals(changes.edition(), slow.announced.edition());
  }

  @Test
  void givenReplicaThatMissedAllChanges_whenItReturns_thenOneVersionCatchesItUp() {
    assertTrue(bytesOfCatchUp(CHANGES) < 1.2 * bytesOfCatchUp(CHANGES / 10));
  }

  private static long bytesOfCatchUp(int changeCount) {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(32, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    SimulatedCore owner = operator.awaitOwner();
    SimulatedCore away = operator.followers().get(0);
    away.crash();
    SteadyChanges changes = new SteadyChanges(cluster, owner, changeCount);
    changes.run();
    long before = bytesTo(cluster, away);
    away.start(cluster.seeds(), false);
    cluster.runFor(CATCH_UP_LIMIT);
    assertEquals(changes.edition(), acceptedEdition(away));
    assertNotNull(away.announced);
    assertEquals(changes.edition(), away.announced.edition());
    return bytesTo(cluster, away) - before;
  }

  @Test
  void givenFullDiskDuringAllChanges_whenItHasSpaceAgain_thenTheReplicaStoresTheNewestVersion() {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(33, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    SimulatedCore owner = operator.awaitOwner();
    SimulatedCore full = operator.followers().get(0);
    full.storageFails = true;
    SteadyChanges changes = new SteadyChanges(cluster, owner, CHANGES);
    changes.run();
    cluster.runFor(millis(5_000));
    full.storageFails = false;
    cluster.runFor(millis(2_500));
    assertEquals(changes.edition(), acceptedEdition(full));
    assertEquals(changes.edition(), full.announced.edition());
  }

  @Test
  void givenStaleReplicaAsOnlyCandidate_whenItWins_thenItOwnsTheNewestVersion() {
    SimulatedCluster cluster = SimulatedOperatorClient.startedCluster(35, 3);
    SimulatedOperatorClient operator = new SimulatedOperatorClient(cluster);
    SimulatedCore owner = operator.awaitOwner();
    SimulatedCore stale = operator.followers().get(0);
    stale.crash();
    for (int edition = 1; edition <= 100; edition++) {
      assertEquals(200, operator.put(owner, edition - 1, edition + " small"));
    }
    owner.crash();
    stale.start(cluster.seeds(), false);
    String staleId = stale.disk.identity.getId();
    cluster.lose(
        message ->
            message instanceof PreVote vote && !vote.getProposal().getNode().equals(staleId));
    assertEquals(stale, operator.awaitOwner());
    assertEquals(100, stale.announced.edition());
    assertEquals("100 small", operator.read(stale));
    cluster.heal();
    assertEquals(200, operator.put(stale, 100, "101 next"));
    owner.start(cluster.seeds(), false);
    cluster.runFor(millis(2_500));
    assertEquals("101 next", operator.read(owner));
  }
}
