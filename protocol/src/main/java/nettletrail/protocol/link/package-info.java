/**
 * Framed TCP links that carry {@link nettletrail.protocol.Envelope}s between the processes of a
 * fleet.
 *
 * <p>A frame is a length of four bytes (big endian) and as many bytes of Avro binary. All classes
 * live on one Netty event loop: their methods are called there, and their callbacks come there.
 */
package nettletrail.protocol.link;
