package nettletrail.fleet;

import sun.misc.Signal;

/**
 * The signal SIGHUP, by which the platform says that the settings have changed. It is handled from
 * the start of the process on, since the default action would end it; one that arrives before there
 * is an action is remembered. Thread-safe.
 */
final class HangUpSignal {
  private static final String NAME = "HUP";

  private Runnable action;
  private boolean pending;

  /** Replaces the default action of the signal for this process. */
  void install() {
    Signal.handle(new Signal(NAME), signal -> received());
  }

  /** Runs an action at each signal from now on, and now if there was one before. */
  synchronized void onReceived(Runnable newAction) {
    action = newAction;
    if (pending) {
      pending = false;
      action.run();
    }
  }

  /** The signal has arrived. */
  synchronized void received() {
    if (action == null) {
      pending = true;
    } else {
      action.run();
    }
  }
}
