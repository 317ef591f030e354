package nettletrail.control.host;

import java.util.function.Consumer;
import nettletrail.control.registry.RegistryAction.StoreWithdrawals;
import nettletrail.control.shard.CoreAction.StorePromise;
import nettletrail.control.shard.CoreAction.StoreVersion;
import nettletrail.control.shard.StoreOutcome;

/**
 * The durable state of a core process. Writes of one shard are done in the order of the calls. No
 * method blocks; {@code done} is called exactly once on the host's thread, possibly before the
 * method returns. It is not called after the process has ended.
 */
public interface CoreStorage {
  /** Makes a promise durable. */
  void store(StorePromise promise, Consumer<StoreOutcome> done);

  /** Makes a version durable. */
  void store(StoreVersion version, Consumer<StoreOutcome> done);

  /** Makes withdrawn backends durable in place of those stored before. */
  void store(StoreWithdrawals withdrawals, Consumer<StoreOutcome> done);
}
