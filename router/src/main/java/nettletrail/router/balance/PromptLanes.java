package nettletrail.router.balance;

/**
 * Divides the engines of a service between long and short prompts, where its requests are of two
 * very different sizes.
 *
 * <p>While an engine reads a long prompt, each token of everything else that runs there comes a
 * whole piece of that prompt later. A door sees too few requests to know which engines read one at
 * the moment, so it keeps short requests off the engines that long ones go to. All doors order the
 * engines alike, by a hash of their ids, and each takes as many of the first ones for long prompts
 * as their part of the work is, in eighths; doors that see other traffic differ at the border only.
 *
 * <p>A prompt is long if it is above the mean. The division is made only while the mean of the long
 * ones is a multiple of that of the short ones, and there are enough engines for two lanes.
 * Averages fade over some hundred requests. One thread.
 */
final class PromptLanes {
  /** With fewer engines each lane would have too few to bear the loss of one. */
  private static final int LEAST_ENGINES = 8;

  /** How much longer the long prompts are. */
  private static final double LEAST_RATIO = 10;

  private static final int LEAST_REQUESTS = 16;
  private static final int LEAST_LONG_REQUESTS = 2;

  /** Over so many requests averages fade. */
  private static final double SPAN_REQUESTS = 300;

  /** What an output token costs an engine, in tokens of prompt. */
  private static final double OUTPUT_WEIGHT = 12;

  private static final int EIGHTHS = 8;
  private static final int FEWEST_EIGHTHS = 2;

  /** The part of the long ones moves by one eighth only when it is this far beyond the border. */
  private static final double STICKINESS = 0.03;

  private final Fraction longOnes = new Fraction();
  private final Fraction shortOnes = new Fraction();
  private int requests;
  private int longRequests;
  private int eighths;

  /** Faded sums over one kind of request. */
  private static final class Fraction {
    double count;
    double promptTokens;
    double work;

    void fade(double kept) {
      count *= kept;
      promptTokens *= kept;
      work *= kept;
    }

    void add(long prompt, long output) {
      count++;
      promptTokens += prompt;
      work += prompt + OUTPUT_WEIGHT * output;
    }

    double meanPrompt() {
      return count == 0 ? 0 : promptTokens / count;
    }
  }

  /** A request is about to be sent; requests without token counts are not to be told. */
  void observe(long promptTokens, long outputTokens) {
    boolean isLong = isLong(promptTokens);
    double kept = 1 - 1 / SPAN_REQUESTS;
    longOnes.fade(kept);
    shortOnes.fade(kept);
    (isLong ? longOnes : shortOnes).add(promptTokens, outputTokens);
    requests++;
    longRequests += isLong ? 1 : 0;
    followWork();
  }

  private void followWork() {
    double sum = longOnes.work + shortOnes.work;
    if (sum == 0) {
      return;
    }
    double wanted = EIGHTHS * longOnes.work / sum;
    if (Math.abs(wanted - eighths) > 0.5 + EIGHTHS * STICKINESS) {
      long bounded =
          Math.min(EIGHTHS - FEWEST_EIGHTHS, Math.max(FEWEST_EIGHTHS, Math.round(wanted)));
      eighths = (int) bounded;
    }
  }

  /** Whether engines are divided, of so many that are ready. */
  boolean isDivided(int engines) {
    return engines >= LEAST_ENGINES
        && requests >= LEAST_REQUESTS
        && longRequests >= LEAST_LONG_REQUESTS
        && shortOnes.count > 0
        && longOnes.meanPrompt() >= LEAST_RATIO * shortOnes.meanPrompt();
  }

  /** Whether a prompt of this length counts as long. */
  boolean isLong(long promptTokens) {
    double count = longOnes.count + shortOnes.count;
    double mean = count == 0 ? 0 : (longOnes.promptTokens + shortOnes.promptTokens) / count;
    return promptTokens > mean;
  }

  /** How many of the engines, the first ones in the order, are for long prompts. */
  int enginesForLong(int engines) {
    return Math.round((float) engines * eighths / EIGHTHS);
  }
}
