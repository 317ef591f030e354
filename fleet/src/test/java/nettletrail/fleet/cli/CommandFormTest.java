package nettletrail.fleet.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.model.ArgumentsMetadata;
import com.github.rvesse.airline.model.CommandGroupMetadata;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.model.OptionMetadata;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import nettletrail.fleet.ApprovedForm;
import org.junit.jupiter.api.Test;

/** The operators' command line: its commands, options and arguments, and its exit codes. */
class CommandFormTest {
  @Test
  void commandsHaveTheirOptionsAndArguments() throws IOException {
    GlobalMetadata<OperatorCommand> commandLine =
        new Cli<OperatorCommand>(OperatorClient.class).getMetadata();
    TreeSet<String> lines = new TreeSet<>();
    commandLine.getDefaultGroupCommands().forEach(command -> lines.add(describe("", command)));
    for (CommandGroupMetadata group : commandLine.getCommandGroups()) {
      group.getCommands().forEach(command -> lines.add(describe(group.getName() + " ", command)));
    }
    List<String> approved = new ArrayList<>();
    approved.add(commandLine.getName());
    approved.addAll(lines);
    ApprovedForm.verify("commands.txt", approved);
  }

  private static String describe(String group, CommandMetadata command) {
    TreeSet<String> options = new TreeSet<>();
    command.getAllOptions().forEach(option -> options.add(describe(option)));
    StringBuilder line = new StringBuilder(group + command.getName());
    options.forEach(option -> line.append(' ').append(option));
    ArgumentsMetadata arguments = command.getArguments();
    if (arguments != null) {
      line.append(' ').append(String.join(" ", arguments.getTitle()));
      line.append(arguments.isRequired() ? "" : "?");
    }
    return line.toString();
  }

  private static String describe(OptionMetadata option) {
    String value = option.getArity() == 0 ? "" : " " + option.getTitle(0);
    String form = String.join("|", option.getOptions()) + value;
    return option.isRequired() ? form : "[" + form + "]";
  }

  @Test
  void helpListsTheExitCodes() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    OperatorClient.run(new Console(stream, stream), "help");
    List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
    List<String> codes = lines.subList(lines.indexOf("EXIT CODES") + 1, lines.size());
    ApprovedForm.verify("exit-codes.txt", codes.stream().map(String::strip).toList());
  }
}
