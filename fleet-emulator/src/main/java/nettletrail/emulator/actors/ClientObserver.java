package nettletrail.emulator.actors;

/** Told what those who use a fleet saw, as soon as they saw it. */
public interface ClientObserver {
  /** An operator has the acknowledgement of an order; invoked is when it made the call. */
  void acknowledged(ChangeDocument document, long invoked);

  /** An operator was told that another version is current. */
  void rejected(ChangeDocument document, long invoked);

  /** An operator got no clear answer. */
  void indeterminate(ChangeDocument document, long invoked);

  /** An operator read an order's configuration. */
  void read(ChangeDocument document, long invoked);

  /** A core process in touch acknowledged that a backend leaves. */
  void backendEndAcknowledged(String backend);

  /** A backend has ended. */
  void backendEnded(String backend);

  /** A door uses a configuration. */
  void configurationUsed(String door, boolean stable, int changeId);

  /** A door took a key. */
  void keyAccepted(String door, String key);

  /** A door sent a request that counts so many tokens. */
  void quotaUsed(long tokens);

  /** A door sent a request to a backend. */
  void backendUsed(String door, boolean stable, String backend);
}
