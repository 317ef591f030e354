package nettletrail.fleet;

import java.util.OptionalInt;

/** The option of both roles that names the port of {@link MetricsServer}. */
final class MetricsPort {
  private static final String OPTION = "--metrics-port";
  private static final int ARGUMENTS_WITH_OPTION = 3;
  private static final int MAX_PORT = 65_535;

  private MetricsPort() {}

  /**
   * Reads the arguments of a role, the first of which is the role's name.
   *
   * @return empty if the option isn't given
   * @throws StartException if an argument is unknown, or the port is not one
   */
  static OptionalInt of(String[] arguments) throws StartException {
    if (arguments.length == 1) {
      return OptionalInt.empty();
    }
    if (arguments.length == ARGUMENTS_WITH_OPTION && arguments[1].equals(OPTION)) {
      return OptionalInt.of(port(arguments[2]));
    }
    throw new StartException(
        StartStep.READ_ARGUMENTS, "usage: " + arguments[0] + " [" + OPTION + " PORT]", null);
  }

  private static int port(String text) throws StartException {
    try {
      int port = Integer.parseInt(text);
      if (port > 0 && port <= MAX_PORT) {
        return port;
      }
    } catch (NumberFormatException notANumber) {
      // Reported below, as a number out of range is.
    }
    throw new StartException(
        StartStep.READ_ARGUMENTS, OPTION + " " + text + ": a port from 1 to " + MAX_PORT, null);
  }
}
