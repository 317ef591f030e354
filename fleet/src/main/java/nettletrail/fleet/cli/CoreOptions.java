package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Arrays;
import java.util.List;

/** Options about which cores are called. */
public final class CoreOptions {
  /** Addresses, joined by commas. */
  @Option(
      name = "--core",
      title = "HOST:PORT[,..]",
      description = "Control addresses of the core. They are tried in turn until one answers.")
  @Required
  String addresses = "";

  /** A client that tries these cores in turn. */
  CoreClient client() throws ClientException {
    return new CoreClient(list(), CoreClient.Pauses.standard());
  }

  /** The addresses, one by one. */
  List<String> list() {
    return Arrays.stream(addresses.split(","))
        .map(String::strip)
        .filter(address -> !address.isEmpty())
        .toList();
  }
}
