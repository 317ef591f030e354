package nettletrail.fleet;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettletrail.control.host.CoreStorage;
import nettletrail.control.registry.RegistryAction.StoreWithdrawals;
import nettletrail.control.shard.CoreAction.StorePromise;
import nettletrail.control.shard.CoreAction.StoreVersion;
import nettletrail.control.shard.StoreOutcome;
import nettletrail.protocol.ShardVersion;
import nettletrail.protocol.event.LogEvent;
import nettletrail.store.CoreStore;
import nettletrail.store.StorageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes promises, versions and withdrawn backends to the disk on a thread of its own, one after
 * the other, so that a disk that is slow or silent never holds up the event loop. At most {@value
 * #MAX_WAITING} writes wait; further ones fail at once. Outcomes come on the event loop, each in a
 * turn of its own.
 */
final class StorageThread implements CoreStorage, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(StorageThread.class);
  private static final int MAX_WAITING = 64;
  private static final String QUEUE_FULL = "the storage thread's queue is full";

  private final CoreStore store;
  private final Executor eventLoop;
  private final ThreadPoolExecutor executor =
      new ThreadPoolExecutor(
          1,
          1,
          0,
          TimeUnit.SECONDS,
          new ArrayBlockingQueue<>(MAX_WAITING),
          new DefaultThreadFactory("storage", true));

  /**
   * Begins without a write.
   *
   * @param eventLoop runs what is called with outcomes
   */
  StorageThread(CoreStore store, Executor eventLoop) {
    this.store = store;
    this.eventLoop = eventLoop;
  }

  @Override
  public void store(StorePromise promise, Consumer<StoreOutcome> done) {
    submit(() -> store.storePromise(promise.shard(), promise.proposal()), done);
  }

  @Override
  public void store(StoreVersion version, Consumer<StoreOutcome> done) {
    submit(() -> store.storeVersion(version.shard(), version.version()), done);
  }

  @Override
  public void store(StoreWithdrawals withdrawals, Consumer<StoreOutcome> done) {
    submit(() -> store.storeWithdrawals(withdrawals.withdrawals()), done);
  }

  /**
   * Reads the versions of a shard from the disk, behind the queued writes; for operators. Exactly
   * one of the two is called, on the event loop.
   */
  void readVersions(int shard, Consumer<List<ShardVersion>> done, Consumer<String> failed) {
    try {
      executor.execute(
          () -> {
            try {
              List<ShardVersion> versions = store.versions(shard);
              eventLoop.execute(() -> done.accept(versions));
            } catch (StorageException failure) {
              eventLoop.execute(() -> failed.accept(failure.getMessage()));
            }
          });
    } catch (RejectedExecutionException full) {
      eventLoop.execute(() -> failed.accept(QUEUE_FULL));
    }
  }

  @Override
  public void close() {
    executor.shutdown();
  }

  private void submit(Write write, Consumer<StoreOutcome> done) {
    try {
      executor.execute(() -> notify(done, outcome(write)));
    } catch (RejectedExecutionException full) {
      notify(done, StoreOutcome.failed(QUEUE_FULL));
    }
  }

  private void notify(Consumer<StoreOutcome> done, StoreOutcome outcome) {
    eventLoop.execute(() -> done.accept(outcome));
  }

  private static StoreOutcome outcome(Write write) {
    try {
      write.run();
      return StoreOutcome.STORED;
    } catch (StorageException failure) {
      LOG.warn("{} storage: {}", LogEvent.STORAGE_FAILED, failure.getMessage());
      return StoreOutcome.failed(failure.getMessage());
    }
  }

  private interface Write {
    void run() throws StorageException;
  }
}
