package nettletrail.emulator.capacity;

import java.util.Locale;

/** Names and addresses as long as those of a real fleet, the same for the same number. */
public final class FleetNames {
  private static final int PUBLIC_PORT = 8662;
  private static final int LINK_PORT = 7680;
  private static final int BACKEND_PORT = 8080;

  /** Second number of the backends' addresses, which stay clear of those of cores and doors. */
  private static final int BACKEND_NETWORK = 128;

  private static final long GOLDEN_RATIO = 0x9e3779b1L;
  private static final long LOW_32_BITS = 0xffffffffL;
  private static final int ADDRESSES_PER_BYTE = 250;

  private FleetNames() {}

  /** A door's name. */
  public static String door(int number) {
    return "door-" + zone(number) + "-" + number;
  }

  static String doorAddress(int number) {
    return address(1, number, PUBLIC_PORT);
  }

  static String core(int number) {
    return "core-" + zone(number) + "-" + number;
  }

  static String coreAddress(int number) {
    return address(0, number, LINK_PORT);
  }

  /** Identity of a replica: its address and the incarnation of its disk. */
  static String member(int number) {
    return coreAddress(number) + "#0";
  }

  /** A backend's id. */
  public static String backend(int number) {
    return String.format(Locale.ROOT, "i-%08x", (number + 1) * GOLDEN_RATIO & LOW_32_BITS);
  }

  static String backendAddress(int number) {
    return address(BACKEND_NETWORK, number, BACKEND_PORT);
  }

  static String tenant(int number) {
    return String.format(Locale.ROOT, "tenant-%04d", number);
  }

  static String zone(int number) {
    return "hall-" + (char) ('a' + number % FleetPlan.ZONES);
  }

  static String service(int number) {
    return "service-" + number;
  }

  private static String address(int net, int number, int port) {
    int third = number / ADDRESSES_PER_BYTE;
    int fourth = 1 + number % ADDRESSES_PER_BYTE;
    return "10." + net + "." + third + "." + fourth + ":" + port;
  }
}
