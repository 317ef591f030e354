package nettletrail.router.balance;

import java.util.List;

/**
 * What a choice of a backend is made for.
 *
 * @param prefix that the prompt shares with others
 * @param promptTokens of the whole prompt; 0 where tokens are not counted
 * @param memoryTokens that the request holds in a backend's memory at most
 * @param tried the incarnations that it was sent to already
 */
public record BackendChoice(
    PromptPrefix prefix, long promptTokens, long memoryTokens, List<String> tried) {}
