/**
 * Framed TCP links that carry {@link nettletrail.protocol.Envelope}s between the processes of a
 * fleet. Entry class: {@link nettletrail.protocol.link.Links}.
 *
 * <p>A frame is a length of four bytes (big endian, not counting itself) and as many bytes of
 * Avro's binary encoding. The first frame in each direction is a {@link
 * nettletrail.protocol.Hello}. A link delivers in order or closes; there is no acknowledgement, no
 * retry and no queue here, and the package interprets no message but hello, ping and pong.
 *
 * <p>Thread: all classes live on one Netty event loop. Their methods are called there, their
 * callbacks come there, and nothing blocks. {@link nettletrail.protocol.link.EnvelopeCodec} may be
 * used elsewhere, one instance a thread.
 *
 * <p>Buffers: {@link nettletrail.protocol.link.FrameWriter} allocates the frames that go out, and
 * Netty releases them once written; {@link nettletrail.protocol.link.Link} releases those that come
 * in. No buffer leaves the package.
 */
package nettletrail.protocol.link;
