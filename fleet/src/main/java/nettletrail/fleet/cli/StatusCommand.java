package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import java.util.LinkedHashMap;
import java.util.Map;

/** A command that lists one part of the fleet's state as every core sees it. */
abstract class StatusCommand implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  /** The list's name in the status interface. */
  abstract String resource();

  @Override
  public ExitCode run(Console console) throws ClientException {
    StatusQuery query = StatusQuery.ask(core, resource());
    if (output.json) {
      Map<String, Object> json = new LinkedHashMap<>();
      json.put(resource(), query.rows());
      json.put("failures", query.failures());
      console.json(json);
    } else {
      TextTable.print(query.rows(), console.out());
      query.failures().forEach(console.err()::println);
    }
    return ExitCode.DONE;
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
