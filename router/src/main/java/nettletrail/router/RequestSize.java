package nettletrail.router;

import java.util.List;
import nettletrail.router.balance.BackendChoice;
import nettletrail.router.balance.PromptPrefix;

/**
 * The size of a request as it counts for load balancing and fairness.
 *
 * @param tokens as the client states them, or null
 * @param prefix the shared part of its prompt
 */
record RequestSize(TokenCount tokens, PromptPrefix prefix) {
  static RequestSize of(ClientRequest request) {
    return new RequestSize(request.tokenCount(), request.promptPrefix());
  }

  /** Tokens of the prompt; 0 if the client doesn't state them. */
  long inputTokens() {
    return tokens == null ? 0 : tokens.input();
  }

  /** Tokens of a backend's KV cache that it uses at most. */
  long memoryTokens() {
    return tokens == null ? 0 : tokens.sum();
  }

  /** Tokens of the prompt after the shared prefix. */
  long prefillTokens() {
    return Math.max(0, inputTokens() - prefix.tokens());
  }

  /** What the choice of a backend depends on, for a request that these backends had already. */
  BackendChoice choice(List<String> tried) {
    return new BackendChoice(prefix, inputTokens(), memoryTokens(), tried);
  }
}
