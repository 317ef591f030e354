package nettletrail.router;

import nettletrail.router.balance.BackendLoad;
import nettletrail.router.upstream.AttemptFailure;
import nettletrail.router.upstream.AttemptHandle;

/**
 * An attempt that is to replace a stalled one. Until it is confirmed, on an open connection, the
 * stalled attempt remains the exchange's current one; from then on this one is. On the event loop.
 */
final class ReplacementAttempt extends ExchangeAttempt {
  private final Exchange exchange;
  private final BackendLoad backend;
  private final StalledAttemptReplacer replacer;

  /** Null until it was passed to the pool. */
  private AttemptHandle handle;

  private boolean confirmed;

  ReplacementAttempt(
      Exchange exchange,
      ExchangeHandlers handlers,
      BackendLoad backend,
      StalledAttemptReplacer replacer) {
    super(exchange, handlers);
    this.exchange = exchange;
    this.backend = backend;
    this.replacer = replacer;
  }

  Exchange exchange() {
    return exchange;
  }

  BackendLoad backend() {
    return backend;
  }

  /** Whether it has replaced the stalled attempt. */
  boolean isConfirmed() {
    return confirmed;
  }

  /** Its handle; null if it was confirmed before the pool returned it. */
  AttemptHandle handle() {
    return handle;
  }

  void setHandle(AttemptHandle newHandle) {
    handle = newHandle;
  }

  /** Gives it up before it is confirmed; the stalled attempt has ended. */
  void cancel() {
    if (handle != null) {
      handle.cancel();
    }
  }

  @Override
  public boolean confirmSend() {
    confirmed = replacer.confirmReplacement(this);
    return confirmed;
  }

  @Override
  public void failed(AttemptFailure failure) {
    if (confirmed) {
      super.failed(failure);
    } else {
      replacer.connectionFailed(this);
    }
  }
}
