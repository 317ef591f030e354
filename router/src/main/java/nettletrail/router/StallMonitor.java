package nettletrail.router;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Checks the attempts of idempotent exchanges for stalls, and has stalled ones replaced. On the
 * event loop.
 */
final class StallMonitor {
  private static final long CHECK_INTERVAL_MS = 100;

  private final EventLoop loop;
  private final StalledAttemptReplacer replacer;
  private final Set<Exchange> watched = new LinkedHashSet<>();
  private boolean checkScheduled;
  private boolean stopped;

  StallMonitor(EventLoop loop, StalledAttemptReplacer replacer) {
    this.loop = loop;
    this.replacer = replacer;
  }

  /** Watches an exchange until its end, if it is idempotent. */
  void watch(Exchange exchange) {
    if (stopped || !exchange.isIdempotent()) {
      return;
    }
    watched.add(exchange);
    if (!checkScheduled) {
      scheduleCheck();
    }
  }

  /** Stops all checks, since the process shuts down: attempts in progress are to end there. */
  void stop() {
    stopped = true;
  }

  private void scheduleCheck() {
    checkScheduled = true;
    loop.schedule(this::checkAll, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void checkAll() {
    checkScheduled = false;
    long now = System.nanoTime();
    watched.removeIf(exchange -> stopped || exchange.hasEnded());
    for (Exchange exchange : new ArrayList<>(watched)) {
      if (exchange.isStalled(now)) {
        replacer.replaceIfPermitted(exchange);
      }
    }
    if (!watched.isEmpty()) {
      scheduleCheck();
    }
  }
}
