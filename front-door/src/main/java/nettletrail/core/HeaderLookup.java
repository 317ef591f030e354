package nettletrail.core;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Function;

/**
 * A message's headers by name; one that is absent is null. A class, not a method reference: see the events of
 * {@link Dispatcher}.
 */
public record HeaderLookup(HttpHeaders headers) implements Function<CharSequence, String> {
    @Override
    public String apply(CharSequence name) {
        return headers.get(name);
    }
}
