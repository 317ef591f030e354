package nettletrail.core;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Function;

/**
 * Looks up a message's headers by name; an absent header is null. A class, not a method reference,
 * for the reason given at the events of {@link Dispatcher}.
 */
public record HeaderLookup(HttpHeaders headers) implements Function<CharSequence, String> {
  @Override
  public String apply(CharSequence name) {
    return headers.get(name);
  }
}
