package nettletrail.app;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import nettletrail.app.scale.BackendsProcess;
import nettletrail.app.scale.DiscoveryProcess;
import nettletrail.app.scale.HollowDoorsProcess;
import nettletrail.app.scale.RelayProcess;
import nettletrail.core.Authorizer;
import nettletrail.core.FrontDoorExtensions;
import nettletrail.core.Frontend;
import nettletrail.core.Membership;
import nettletrail.core.RequestLimiter;
import nettletrail.core.SettingsSection;
import nettletrail.decision.ApertureSettings;
import nettletrail.door.FrontDoor;
import nettletrail.door.Main;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command line with everything on board. Exit status 2 means that what was given can't be used. */
@Command(name = "nettletrail", mixinStandardHelpOptions = true, version = "nettletrail 0.2.0",
        description = "A gateway that meters many customers' use of one shared service.",
        subcommands = {App.Serve.class, App.Adapter.class, App.Check.class, App.Keys.class, Measure.class,
                Faults.class, Try.class, Usage.class, MembersCommand.class, TestedDoor.class, MeasureFrontDoor.Relay.class,
                MeasureExtProc.Echo.class, HollowDoorsProcess.class, DiscoveryProcess.class, BackendsProcess.class,
                RelayProcess.class})
public final class App {
    static final int UNUSABLE = 2;

    @Spec
    private CommandSpec spec;

    /** For picocli. */
    public App() { }

    /** An operator file that can't be used is told the same way by each command that reads one. */
    static CommandLine commandLine() {
        return new CommandLine(new App()).setExecutionExceptionHandler((fault, command, parsed) -> {
            if (fault instanceof OperatorFile.Unusable unusable) {
                unusable.lines().forEach(command.getErr()::println);
                return UNUSABLE;
            }
            throw fault;
        });
    }

    public static void main(String[] args) {
        int status = commandLine().execute(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** One front door, with the further fronts and subsystems that the operator file turns on. */
    @Command(name = "serve", mixinStandardHelpOptions = true,
            description = "One front door, told by EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONFIG.")
    static final class Serve implements Callable<Integer> {
        @Option(names = "--operator", paramLabel = "FILE", description = "The operator file.")
        private Path file;

        @Override
        public Integer call() throws InterruptedException, OperatorFile.Unusable {
            FrontDoor.serve(System.getenv(), file == null ? FrontDoorExtensions.NONE
                    : additions(OperatorFile.read(file)));
            return 0;
        }
    }

    /** What an operator file turns on. */
    static FrontDoorExtensions additions(OperatorFile operator) {
        List<Frontend.Factory> fronts = new ArrayList<>();
        RequestLimiter.Factory bound = FrontDoorExtensions.NONE.limiter();
        Authorizer.Factory admission = FrontDoorExtensions.NONE.authorizer();
        Membership.Factory members = FrontDoorExtensions.NONE.membership();
        ApertureSettings aperture = FrontDoorExtensions.NONE.aperture();
        Desk desk = new Desk();
        for (Subsystem subsystem : Subsystem.ALL) {
            SettingsSection.Values values = operator.section(subsystem.section().name());
            subsystem.begin(values);
            subsystem.front(values, desk).ifPresent(fronts::add);
            bound = subsystem.bound(values).orElse(bound);
            admission = subsystem.admission(values).orElse(admission);
            members = subsystem.members(values, desk).orElse(members);
            aperture = subsystem.aperture(values).orElse(aperture);
        }
        return new FrontDoorExtensions(fronts, bound, admission, members, aperture);
    }

    /** The module on the simulator's wire. */
    @Command(name = "adapter", mixinStandardHelpOptions = true,
            description = "Hosts instances of the decision module on the simulator's wire (standard input, output).")
    static final class Adapter implements Callable<Integer> {
        @Override
        public Integer call() throws InterruptedException {
            Main.main(new String[] {"adapter"});
            return 0;
        }
    }

    /** Tells whether an operator file can be used. */
    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Checks an operator file; names file, line and key of each fault and exits with 2.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The operator file.")
        private Path file;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws OperatorFile.Unusable {
            OperatorFile.read(file);
            spec.commandLine().getOut().println(file + ": sound");
            return 0;
        }
    }

    /** The keys of the operator file, as operators read them. */
    @Command(name = "keys", mixinStandardHelpOptions = true,
            description = "Lists the operator file's sections and keys with range, default and meaning.")
    static final class Keys implements Callable<Integer> {
        @Option(names = "--toml", description = "As an operator file that holds every default.")
        private boolean toml;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            if (toml) {
                asFile(out);
                return 0;
            }
            for (Subsystem subsystem : Subsystem.ALL) {
                SettingsSection section = subsystem.section();
                out.println("[" + section.name() + "]  " + section.help());
                for (SettingsSection.Key key : section.keys()) {
                    out.println("  " + key.name() + " = " + quoted(key.defaultValue()) + "  " + key.help() + "; "
                            + key.range());
                }
            }
            return 0;
        }

        private static void asFile(PrintWriter out) {
            out.println("# The operator file: what this installation turns on beside the platform's front door.");
            out.println("# Check it with: ./nettletrail check FILE. Keys left out have the values shown here.");
            out.println("# The platform's run line doesn't read it: this needs listeners that the platform lacks.");
            for (Subsystem subsystem : Subsystem.ALL) {
                SettingsSection section = subsystem.section();
                out.println();
                out.println("# " + section.help());
                out.println("[" + section.name() + "]");
                for (SettingsSection.Key key : section.keys()) {
                    out.println("# " + key.help() + "; " + key.range());
                    out.println(key.name() + " = " + quoted(key.defaultValue()));
                }
            }
        }

        private static String quoted(Object value) {
            return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
        }
    }
}
