package nettletrail.control.door;

import java.nio.ByteBuffer;

/**
 * A configuration that was received completely.
 *
 * @param sequence the version of the configuration shard that committed it, above 0
 * @param edition the operator's number
 * @param document as it is stored and sent, compressed; read only
 */
record PendingConfiguration(long sequence, long edition, ByteBuffer document) {}
