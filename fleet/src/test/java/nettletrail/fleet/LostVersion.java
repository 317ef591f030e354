package nettletrail.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import nettletrail.configuration.CompressedDocument;
import nettletrail.control.ShardMap;
import nettletrail.control.shard.StoredConfiguration;
import nettletrail.protocol.ConfigurationChange;
import nettletrail.protocol.ConfigurationValue;
import nettletrail.protocol.ProposalNumber;
import nettletrail.protocol.ShardVersion;
import nettletrail.store.CoreStore;
import nettletrail.store.DiskDirectory;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumWriter;

/**
 * Writes to the disk of a core that is stopped what is left there after a former owner's change was
 * lost: a version that was never committed, and the next owner's, which was.
 */
final class LostVersion {
  private static final int DIGEST_BYTES = 16;

  /** A change with the document that it makes. */
  record Change(long edition, String document) {}

  private LostVersion() {}

  /**
   * Adds the two versions on top of the newest one.
   *
   * @param linkAddress the core's address of links
   * @param lost the change that was lost
   * @param committed the change that was committed
   */
  static void write(Path disk, String linkAddress, Change lost, Change committed)
      throws IOException {
    CoreStore store =
        CoreStore.open(DiskDirectory.open(disk), linkAddress, false, ShardMap.SHARD_COUNT, 1);
    List<ShardVersion> versions = store.versions(ShardMap.CONFIGURATION_SHARD);
    ShardVersion base = versions.get(versions.size() - 1);
    store.storeVersion(ShardMap.CONFIGURATION_SHARD, version(base, 1, lost));
    store.storeVersion(ShardMap.CONFIGURATION_SHARD, version(base, 2, committed));
  }

  /** The version of an owner that is so many terms later than that of the base. */
  private static ShardVersion version(ShardVersion base, int terms, Change change)
      throws IOException {
    byte[] digest = new byte[DIGEST_BYTES];
    digest[0] = (byte) terms;
    List<ConfigurationChange> changes = new ArrayList<>(StoredConfiguration.of(base).changes());
    changes.add(new ConfigurationChange(change.edition(), ByteBuffer.wrap(digest)));
    byte[] compressed =
        CompressedDocument.compress(change.document().getBytes(StandardCharsets.UTF_8));
    ProposalNumber proposal = base.getProposal();
    return ShardVersion.newBuilder(base)
        .setProposal(new ProposalNumber(proposal.getTerm() + terms, proposal.getNode()))
        .setSequence(base.getSequence() + 1)
        .setValue(
            encode(new ConfigurationValue(change.edition(), ByteBuffer.wrap(compressed), changes)))
        .build();
  }

  private static ByteBuffer encode(ConfigurationValue value) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(bytes, null);
    new SpecificDatumWriter<>(ConfigurationValue.class).write(value, encoder);
    encoder.flush();
    return ByteBuffer.wrap(bytes.toByteArray());
  }
}
