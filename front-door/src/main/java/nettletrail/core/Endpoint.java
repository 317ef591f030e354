package nettletrail.core;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import nettletrail.decision.Gateway;

/**
 * What the list says of a backend.
 *
 * @param id made of the name, so the same at every front door and after a restart
 * @param name as the list gives it
 * @param address where it listens; null if the list gives none that can be used
 * @param startedAtMs wall clock of its last start in ms of Unix time, 0 for long ago
 */
public record Endpoint(long id, String name, SocketAddress address, String zone, String type, int group,
        Gateway.DiscoveryState state, double weight, long startedAtMs) {

    /** Hears what the list says. Called on the event loop. */
    public interface Listener {
        void endpointsUpdated(boolean whole, List<Endpoint> entries);

        void discoveryFailed();
    }

    /** FNV-1a over the name. An id counted up locally would differ between front doors and after a restart. */
    public static long idOf(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** {@code HOST:PORT} with a numeric host, or null: there is no DNS, and a look-up would block the event loop. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            return null;
        }
        try {
            return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
