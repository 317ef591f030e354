package nettletrail.protocol.link;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses {@code ip:port}. Host names are rejected, so that nothing here blocks on a DNS query. */
final class SocketAddresses {
  private static final int MAX_PORT = 65_535;

  private SocketAddresses() {}

  /**
   * Parses an address.
   *
   * @param step what the address is for, named in the error
   * @throws ProtocolException if the text isn't an IP address, a colon and a port of 0 to 65535
   */
  static InetSocketAddress parse(String text, LinkStep step) throws ProtocolException {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (ip == null) {
      throw new ProtocolException(step, text, "the address isn't ip:port");
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), port(text.substring(colon + 1)));
    } catch (NumberFormatException | UnknownHostException failure) {
      throw new ProtocolException(step, text, "the address isn't ip:port", failure);
    }
  }

  private static int port(String text) {
    int port = Integer.parseInt(text);
    if (port < 0 || port > MAX_PORT) {
      throw new NumberFormatException("port " + port);
    }
    return port;
  }
}
