package nettletrail.control.registry;

import java.util.Optional;
import nettletrail.control.registry.RegistryAction.StoreWithdrawals;

/**
 * Decides when the withdrawals of the registry, that is its draining and deregistered backends, are
 * written to this process's disk, and knows which of them are durable there. Not thread-safe;
 * instants are steady nanoseconds.
 *
 * <p>The withdrawals have a version, which grows with each change. A write covers all withdrawals
 * up to the version at which it began (group commit). One write is in flight at a time; after one
 * that failed the next begins with exponential backoff.
 */
public final class DurableWithdrawals {
  private static final long MILLIS = 1_000_000L;
  private static final long INITIAL_BACKOFF_NANOS = 100 * MILLIS;
  private static final long MAX_BACKOFF_NANOS = 1_600 * MILLIS;

  private final BackendRegistry registry;
  private long version;
  private long durableVersion;
  private boolean writing;
  private boolean lastWriteFailed;
  private long backoffNanos = INITIAL_BACKOFF_NANOS;
  private long retryAt;

  /** Begins with a registry whose withdrawals, if it has any, were read from the disk. */
  public DurableWithdrawals(BackendRegistry registry) {
    this.registry = registry;
  }

  /** A withdrawal was added to the registry or has changed there. */
  public void changed() {
    version++;
  }

  /** The version that all withdrawals in the registry are part of. */
  public long version() {
    return version;
  }

  /** Whether all withdrawals up to this version are durable on this process's disk. */
  public boolean isDurable(long ofVersion) {
    return durableVersion >= ofVersion;
  }

  /** The write that is due; {@link #stored} has to follow it before the next one. */
  public Optional<StoreWithdrawals> writeDue(long now) {
    boolean backingOff = lastWriteFailed && now - retryAt < 0;
    if (writing || isDurable(version) || backingOff) {
      return Optional.empty();
    }
    writing = true;
    return Optional.of(new StoreWithdrawals(version, registry.withdrawals()));
  }

  /** A write has ended; {@code ofVersion} is its version. */
  public void stored(long ofVersion, boolean durable, long now) {
    writing = false;
    lastWriteFailed = !durable;
    if (durable) {
      durableVersion = Math.max(durableVersion, ofVersion);
      backoffNanos = INITIAL_BACKOFF_NANOS;
    } else {
      retryAt = now + backoffNanos;
      backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    }
  }
}
