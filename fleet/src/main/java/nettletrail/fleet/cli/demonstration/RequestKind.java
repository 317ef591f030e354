package nettletrail.fleet.cli.demonstration;

/** The kinds of requests that clients send; each is a row of the result. */
enum RequestKind {
  SUMMARY("summary (stream, may be resumed)", "/summary/", Keys.NORTH, 10, true, true),
  LOOKUP("lookup (stream)", "/lookup/", Keys.SOUTH, 6, true, false),
  CHAT("chat (runs at most once)", "/chat/", Keys.SOUTH, 0, false, false),
  STATUS("status (may be repeated)", "/status/", Keys.NORTH, 0, false, true),
  REVOKED("lookup with the key that is revoked", "/lookup/", Keys.REVOKED, 6, true, false);

  /** The keys of the two tenants. */
  static final class Keys {
    static final String NORTH = "north-key-1";
    static final String SOUTH = "south-key-1";
    static final String REVOKED = "south-key-2";

    private Keys() {}
  }

  private final String title;
  private final String path;
  private final String key;
  private final int events;
  private final boolean stream;
  private final boolean idempotent;

  RequestKind(
      String title, String path, String key, int events, boolean stream, boolean idempotent) {
    this.title = title;
    this.path = path;
    this.key = key;
    this.events = events;
    this.stream = stream;
    this.idempotent = idempotent;
  }

  /** The name in the result's table. */
  String title() {
    return title;
  }

  /** The prefix of its path, which selects the route. */
  String path() {
    return path;
  }

  /** The tenant's key. */
  String key() {
    return key;
  }

  /** The number of events in a complete stream; 0 if the response isn't one. */
  int events() {
    return events;
  }

  boolean isStream() {
    return stream;
  }

  /** Whether more than one backend may run it. */
  boolean isIdempotent() {
    return idempotent;
  }

  /**
   * The kind of a path, or null if there is none. Paths don't distinguish {@link #REVOKED} from
   * {@link #LOOKUP}.
   */
  static RequestKind ofPath(String path) {
    for (RequestKind kind : values()) {
      if (path.startsWith(kind.path)) {
        return kind;
      }
    }
    return null;
  }
}
