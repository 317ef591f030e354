package nettletrail.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** The command line's names, and the operator file's keys with their defaults. */
class AppFormTest {
    private final List<String> lines = new ArrayList<>();

    /** Compares with the approved text; what was found is left in the build's folder. */
    private void verify(String name) throws Exception {
        String found = String.join("\n", lines) + "\n";
        Files.createDirectories(Path.of("target", "outer-forms"));
        Files.writeString(Path.of("target", "outer-forms", name), found);
        Path approved = Path.of("src", "test", "resources", "outer-forms", name);
        assertEquals(Files.exists(approved) ? Files.readString(approved) : "", found, name);
    }

    private void add(CommandLine command, String before) {
        String name = (before + " " + command.getCommandName()).strip();
        lines.add(name + (command.getCommandSpec().usageMessage().hidden() ? " (hidden)" : ""));
        command.getCommandSpec().options().forEach(each -> lines.add("  " + String.join(", ", each.names())
                + (each.arity().max() == 0 ? "" : " " + each.paramLabel()) + " x" + each.arity() + (each.required() ? ", required" : "")
                + (each.defaultValue() == null ? "" : ", default '" + each.defaultValue() + "'")));
        command.getCommandSpec().positionalParameters().forEach(each -> lines.add("  " + each.paramLabel() + " x"
                + each.arity() + " at " + each.index()));
        command.getSubcommands().values().forEach(each -> add(each, name));
    }

    @Test
    void commandsHaveTheirNamesAndOptions() throws Exception {
        add(App.commandLine(), "");
        verify("app-commands.txt");
    }

    @Test
    void operatorFileHasItsKeysAndDefaults() throws Exception {
        StringWriter out = new StringWriter();
        assertEquals(0, App.commandLine().setOut(new PrintWriter(out)).execute("keys", "--toml"));
        out.toString().lines().filter(each -> !each.isBlank() && !each.startsWith("#")).forEach(lines::add);
        verify("app-operator-file.txt");
    }
}
