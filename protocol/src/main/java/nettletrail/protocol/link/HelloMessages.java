package nettletrail.protocol.link;

import nettletrail.protocol.Hello;

/**
 * The first message of each side of a link: who it is, and which version of the protocol it speaks.
 * Processes of different versions don't link up.
 */
public final class HelloMessages {
  /** The role that doors name; their links are known by the node's name. */
  public static final String DOOR_ROLE = "door";

  /** The role that core processes name; their links are known by their internal address. */
  public static final String CORE_ROLE = "core";

  /** The version of the protocol between processes that this build speaks. */
  public static final int PROTOCOL_VERSION = 2;

  private HelloMessages() {}

  /**
   * The hello of a door.
   *
   * @param address where other processes would reach it; empty for none
   */
  public static Hello ofDoor(String node, String address, long incarnation) {
    return new Hello(node, address, DOOR_ROLE, incarnation, PROTOCOL_VERSION);
  }

  /**
   * The hello of a core process.
   *
   * @param address its internal address, which identifies it
   */
  public static Hello ofCore(String node, String address, long incarnation) {
    return new Hello(node, address, CORE_ROLE, incarnation, PROTOCOL_VERSION);
  }

  /** Whether this is the hello of a door. */
  public static boolean isOfDoor(Hello hello) {
    return hello.getRole().equals(DOOR_ROLE);
  }
}
