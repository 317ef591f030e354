package nettletrail.router.balance;

/** Time that is allowed for the prefill of a prompt before its backend counts as stalled. */
public final class PrefillTimeout {
  /**
   * Allowance for each token of a prompt, in ns. Several times an engine's usual prefill time,
   * since an engine may have the prompts of several requests in its queue.
   */
  public static final long MAX_NANOS_PER_TOKEN = 25_000;

  private PrefillTimeout() {}
}
