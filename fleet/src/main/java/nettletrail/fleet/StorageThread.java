package nettletrail.fleet;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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
 * Writes promises and versions to the disk on a thread of its own, one after the other, so that a
 * disk that is slow or silent never holds up the event loop. At most {@value #MAX_WAITING} writes
 * wait; further ones fail at once.
 */
final class StorageThread implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(StorageThread.class);
  private static final int MAX_WAITING = 64;

  private final CoreStore store;
  private final ThreadPoolExecutor executor =
      new ThreadPoolExecutor(
          1,
          1,
          0,
          TimeUnit.SECONDS,
          new ArrayBlockingQueue<>(MAX_WAITING),
          new DefaultThreadFactory("storage", true));

  StorageThread(CoreStore store) {
    this.store = store;
  }

  /**
   * Stores a promise; {@code done} is called with the outcome, on the storage thread or at once.
   */
  void store(StorePromise promise, Consumer<StoreOutcome> done) {
    submit(() -> store.storePromise(promise.shard(), promise.proposal()), done);
  }

  /**
   * Stores a version; {@code done} is called with the outcome, on the storage thread or at once.
   */
  void store(StoreVersion version, Consumer<StoreOutcome> done) {
    submit(() -> store.storeVersion(version.shard(), version.version()), done);
  }

  /**
   * Reads the versions of a shard from the disk, behind the writes that wait; for operators.
   * Exactly one of the two is called, on the storage thread or at once.
   */
  void readVersions(int shard, Consumer<List<ShardVersion>> done, Consumer<String> failed) {
    try {
      executor.execute(
          () -> {
            try {
              done.accept(store.versions(shard));
            } catch (StorageException failure) {
              failed.accept(failure.getMessage());
            }
          });
    } catch (RejectedExecutionException full) {
      failed.accept("the storage thread's queue is full");
    }
  }

  @Override
  public void close() {
    executor.shutdown();
  }

  private void submit(Write write, Consumer<StoreOutcome> done) {
    try {
      executor.execute(() -> done.accept(outcome(write)));
    } catch (RejectedExecutionException full) {
      done.accept(StoreOutcome.failed("the storage thread's queue is full"));
    }
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
