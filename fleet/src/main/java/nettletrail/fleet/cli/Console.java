package nettletrail.fleet.cli;

import com.jsoniter.output.JsonStream;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Where a command writes: results to one stream, errors to another.
 *
 * @param out for results
 * @param err for errors
 */
public record Console(PrintStream out, PrintStream err) {
  /** Writes one JSON object on one line, in the map's order. */
  public void json(Map<String, Object> object) {
    out.println(JsonStream.serialize(object));
  }

  /** Writes an error, as text or as one JSON object on one line. */
  void error(ClientException failure, boolean json) {
    if (!json) {
      err.println(failure.getMessage());
      return;
    }
    Map<String, Object> object = new LinkedHashMap<>();
    object.put("error", failure.getMessage());
    object.put("step", failure.step().words());
    object.put("peer", failure.peer());
    object.put("exit_code", failure.exitCode().number());
    err.println(JsonStream.serialize(object));
  }
}
