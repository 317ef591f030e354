package nettletrail.configuration;

import java.util.List;

/**
 * The inference engine that each backend of a service runs.
 *
 * @param slots how many requests one backend runs at once
 * @param kvTokens the capacity of its KV cache, in tokens; 0 if not stated
 * @param tokensPerEvent the tokens in one event of a stream
 * @param models the names of the models served
 */
public record Engine(int slots, long kvTokens, int tokensPerEvent, List<String> models) {
  /** Copies the list of models. */
  public Engine {
    models = List.copyOf(models);
  }
}
