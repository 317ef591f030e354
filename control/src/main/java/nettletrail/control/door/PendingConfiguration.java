package nettletrail.control.door;

import java.nio.ByteBuffer;

/**
 * A configuration that the door holds whole.
 *
 * @param sequence the version of the configuration shard that it came with
 * @param edition the operator's number
 * @param document as it is stored and sent, compressed; to be read only
 */
record PendingConfiguration(long sequence, long edition, ByteBuffer document) {}
