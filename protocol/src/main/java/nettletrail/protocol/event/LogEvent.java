package nettletrail.protocol.event;

/**
 * The events that the fleet's processes log at INFO and above. Each line begins with its event's
 * id, which stays the same over releases; {@code docs/operate/events.md} says what each means and
 * what operators should do. Nothing is logged for single requests.
 */
public enum LogEvent {
  /** A core process has read its disk. */
  CORE_STARTS("NT101"),
  /** A door process starts and dials the core. */
  DOOR_STARTS("NT102"),
  /** A door process has shut down: all requests are answered, or the grace period is over. */
  DOOR_ENDS("NT103"),
  /** The settings or the machine don't allow a start. */
  START_FAILED("NT104"),
  /** A door can't listen for clients. */
  LISTEN_FAILED("NT105"),

  /** The settings file can't be read; the previous settings stay active. */
  SETTINGS_UNREADABLE("NT201"),
  /** The settings file has errors; the previous settings stay active. */
  SETTINGS_FAULTY("NT202"),

  /** A link to another process is usable. */
  LINK_UP("NT301"),
  /** A link has ended. */
  LINK_CLOSED("NT302"),
  /** Dialling a process has failed for the first time since it last succeeded. */
  DIAL_FAILED("NT303"),
  /** An address that can't be dialled at all. */
  ADDRESS_UNUSABLE("NT304"),
  /** A connection was rejected: the bound on accepted links is reached. */
  LINK_REFUSED("NT305"),
  /** A message was incomplete or too long, and wasn't sent. */
  MESSAGE_DROPPED("NT306"),
  /** This process failed to handle a message. */
  DELIVERY_FAILED("NT307"),

  /** A caller of the control interface was rejected: the bound is reached. */
  CALLER_REFUSED("NT401"),
  /** A caller of the control interface closed its connection early. */
  CALLER_LOST("NT402"),

  /** A configuration is committed, as this core process knows. */
  CONFIGURATION_COMMITTED("NT501"),
  /** A door has activated a configuration. */
  CONFIGURATION_IN_FORCE("NT502"),
  /** A committed configuration can't be activated by this process. */
  CONFIGURATION_UNUSABLE("NT503"),
  /** A backend registered an address that can't be dialled. */
  BACKEND_ADDRESS_UNUSABLE("NT504"),
  /** A committed configuration requires no keys any more: its routes are open to everyone. */
  ROUTES_OPENED("NT505"),
  /** This core process, as a shard's owner, has committed another replica group. */
  GROUP_CHANGED("NT506"),
  /** A core process ends without an answer to its request to leave the replica groups. */
  GROUP_LEAVE_UNANSWERED("NT507"),
  /** The first start of the system was cut short; this core process has founded the groups. */
  GROUPS_FOUNDED("NT508"),
  /** A core process has known no replica group for some seconds since its start. */
  GROUP_MISSING("NT509"),

  /** A write to the disk has failed. */
  STORAGE_FAILED("NT601"),
  /** A file was damaged when the disk was read; the process has taken a fresh identity. */
  STORAGE_DAMAGED("NT602");

  private final String id;

  LogEvent(String id) {
    this.id = id;
  }

  /** The id that log lines carry. */
  public String id() {
    return id;
  }

  /** The id, so that the event itself can be a parameter of a log line. */
  @Override
  public String toString() {
    return id;
  }
}
