package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Arrays;
import java.util.List;

/** The option that selects the cores. */
public final class CoreOptions {
  /** Control addresses, separated by commas. */
  @Option(
      name = "--core",
      title = "HOST:PORT[,..]",
      description = "Control addresses of the core. They are tried in turn until one answers.")
  @Required
  String addresses = "";

  /** A client of these cores, which tries them in turn and retries. */
  CoreClient client() throws CommandException {
    return new CoreClient(addressList(), RetryPolicy.standard());
  }

  /** A client of one core, without retries. */
  static CoreClient clientWithoutRetries(String address) throws CommandException {
    return new CoreClient(List.of(address), RetryPolicy.withoutRetries());
  }

  /** The addresses, in the order of the option; blank ones are skipped. */
  List<String> addressList() {
    return Arrays.stream(addresses.split(","))
        .map(String::strip)
        .filter(address -> !address.isEmpty())
        .toList();
  }
}
