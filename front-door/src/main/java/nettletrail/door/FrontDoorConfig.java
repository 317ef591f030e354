package nettletrail.door;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import nettletrail.core.Endpoint;
import nettletrail.decision.GatewaySettingsReader;

/**
 * A front door's configuration, read at its start.
 *
 * @param name the front door's name, the same after a restart
 * @param listen address that clients connect to
 * @param discovery address of the discovery agent
 * @param seed seed for random numbers
 * @param maxSockets number of file descriptors that the process may use
 * @param knownEndpoints the last known list of backends, in discovery's format; may be outdated
 * @param settings the deployment's settings
 */
public record FrontDoorConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int maxSockets,
    Map<?, ?> knownEndpoints,
    GatewaySettingsReader settings) {

  /** The configuration is unusable; the message is one line with the reason. */
  public static final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidConfigException(String message) {
      super(message);
    }
  }

  /** Reads the environment variables and the file that they name. */
  public static FrontDoorConfig read(Map<String, String> env) throws InvalidConfigException {
    String name = requiredVariable(env, "EDGE_NAME");
    InetSocketAddress listen = address(requiredVariable(env, "EDGE_LISTEN"), "EDGE_LISTEN");
    InetSocketAddress discovery =
        address(requiredVariable(env, "EDGE_DISCOVERY"), "EDGE_DISCOVERY");
    Map<String, Object> file = readFile(requiredVariable(env, "EDGE_CONFIG"));
    int sockets =
        requiredObject(file, "limits").get("sockets") instanceof Number n ? n.intValue() : 0;
    if (sockets < 64) {
      throw new InvalidConfigException("EDGE_CONFIG: limits.sockets is missing or under 64");
    }
    StringBuilder text = new StringBuilder();
    flatten("", requiredObject(file, "settings"), text);
    return new FrontDoorConfig(
        name,
        listen,
        discovery,
        seed(file),
        sockets,
        requiredObject(file, "known"),
        new GatewaySettingsReader(text.toString()));
  }

  /** The discovery agent's address from the file, which may have been replaced since the start. */
  static InetSocketAddress currentDiscoveryAddress(Map<String, String> env)
      throws InvalidConfigException {
    Object address = readFile(requiredVariable(env, "EDGE_CONFIG")).get("discovery");
    return address(String.valueOf(address), "EDGE_CONFIG: discovery");
  }

  private static InetSocketAddress address(String text, String source)
      throws InvalidConfigException {
    InetSocketAddress address = Endpoint.parseAddress(text);
    if (address == null) {
      throw new InvalidConfigException(
          source + ": '" + text + "' is not an address of the form IP:PORT");
    }
    return address;
  }

  private static String requiredVariable(Map<String, String> env, String name)
      throws InvalidConfigException {
    String value = env.get(name);
    if (value == null || value.isBlank()) {
      throw new InvalidConfigException(name + " is not set");
    }
    return value;
  }

  private static Map<String, Object> readFile(String path) throws InvalidConfigException {
    try {
      return JSON.std.mapFrom(Files.readAllBytes(Path.of(path)));
    } catch (IOException | InvalidPathException e) {
      String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new InvalidConfigException(
          "EDGE_CONFIG: can't read '" + path + "': " + e.getClass().getSimpleName() + " " + reason);
    }
  }

  private static long seed(Map<String, Object> file) throws InvalidConfigException {
    try {
      return Long.parseUnsignedLong(String.valueOf(file.get("seed")), 16);
    } catch (NumberFormatException e) {
      throw new InvalidConfigException(
          "EDGE_CONFIG: seed '" + file.get("seed") + "' is not a hexadecimal number");
    }
  }

  private static Map<?, ?> requiredObject(Map<String, Object> file, String key)
      throws InvalidConfigException {
    if (file.get(key) instanceof Map<?, ?> map) {
      return map;
    }
    throw new InvalidConfigException("EDGE_CONFIG: '" + key + "' is missing or not an object");
  }

  /** Flattens nested JSON into the simulator's settings format, so that one reader serves both. */
  private static void flatten(String path, Object value, StringBuilder to) {
    if (value instanceof Map<?, ?> map) {
      map.forEach((key, inner) -> flatten(path.isEmpty() ? "" + key : path + "." + key, inner, to));
    } else if (value instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map) {
      to.append(path).append(".count=").append(list.size()).append('\n');
      for (int i = 0; i < list.size(); i++) {
        flatten(path + "." + i, list.get(i), to);
      }
    } else if (value instanceof List<?> list) {
      to.append(path).append('=');
      for (int i = 0; i < list.size(); i++) {
        to.append(i == 0 ? "" : ",").append(list.get(i));
      }
      to.append('\n');
    } else if (value != null) {
      to.append(path).append('=').append(String.valueOf(value).replace('\n', ' ')).append('\n');
    }
  }
}
