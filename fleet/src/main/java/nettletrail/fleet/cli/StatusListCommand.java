package nettletrail.fleet.cli;

import com.github.rvesse.airline.annotations.AirlineModule;

/** A command that lists a resource of the fleet's state as each core sees it. */
abstract class StatusListCommand implements OperatorCommand {
  @AirlineModule CoreOptions core = new CoreOptions();
  @AirlineModule OutputOptions output = new OutputOptions();

  /** The resource's name in the status interface. */
  abstract String resource();

  @Override
  public ExitCode run(Console console) throws CommandException {
    StatusList list = new StatusQuery(core, resource()).run();
    output.write(list, console);
    if (!output.json) {
      list.failures().forEach(console.err()::println);
    }
    return ExitCode.DONE;
  }

  @Override
  public boolean isJson() {
    return output.json;
  }
}
