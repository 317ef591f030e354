package nettletrail.router.balance;

/** How long an engine may take to read a prompt before it is taken for stuck. */
public final class PrefillTimeout {
  /**
   * Some times as long as engines take for a token of a prompt, as they read several prompts in
   * turn.
   */
  public static final long MAX_NANOS_PER_TOKEN = 25_000;

  private PrefillTimeout() {}
}
