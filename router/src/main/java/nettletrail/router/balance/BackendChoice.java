package nettletrail.router.balance;

import java.util.List;

/**
 * The properties of a request on which the choice of its backend depends.
 *
 * @param prefix the shared part of its prompt
 * @param promptTokens of the complete prompt; 0 if the client doesn't state them
 * @param memoryTokens of a backend's KV cache that it uses at most
 * @param tried ids of the incarnations that had an attempt already; they are not chosen again
 */
public record BackendChoice(
    PromptPrefix prefix, long promptTokens, long memoryTokens, List<String> tried) {}
