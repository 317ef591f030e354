package nettletrail.app;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Who is there, as a running front door has it. */
@Command(name = "members", mixinStandardHelpOptions = true,
        description = "Which other front doors a running one knows: who, since when, by whose word, and which ways are broken.")
final class MembersCommand implements Callable<Integer> {
    @Mixin
    private RunningDoor door;
    @Option(names = "--json", description = "One JSON object on one line.")
    private boolean json;
    @Option(names = "--watch", description = "Again each second, until it is ended.")
    private boolean watch;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException, OperatorFile.Unusable {
        PrintWriter out = spec.commandLine().getOut();
        do {
            try {
                Map<String, Object> told = door.ask("members", Map.of());
                if (json) {
                    out.println(JSON.std.asString(told));
                } else {
                    table(out, told);
                }
                out.flush();
            } catch (IOException e) {
                spec.commandLine().getErr().println("members: " + e.getMessage());
                return App.UNUSABLE;
            }
            if (watch) {
                TimeUnit.SECONDS.sleep(1);
            }
        } while (watch);
        return 0;
    }

    private static void table(PrintWriter out, Map<String, Object> told) {
        out.printf("%s, life %s; doubt about itself %s of 8%s%s; sends %s bytes a second%n", told.get("self"),
                told.get("life"), told.get("health"), Boolean.TRUE.equals(told.get("cut"))
                        ? "; gets no answer from anyone" : "",
                Boolean.TRUE.equals(told.get("superseded")) ? "; no member: another door has its name" : "",
                told.get("sent_bytes_per_s"));
        out.printf("%-16s %-10s %10s  %-16s %-22s %s%n", "door", "state", "since s", "by the word of", "address", "life");
        for (Object each : list(told.get("members"))) {
            Map<?, ?> member = (Map<?, ?>) each;
            out.printf("%-16s %-10s %10s  %-16s %-22s %s%n", member.get("name"), Boolean.TRUE.equals(member.get("cut"))
                    ? member.get("state") + ",cut" : member.get("state"), member.get("since_s"), member.get("by"),
                    member.get("address"), member.get("life"));
        }
        for (Object each : list(told.get("broken_links"))) {
            Map<?, ?> link = (Map<?, ?>) each;
            out.printf("broken: %s -> %s, says %s%n", link.get("from"), link.get("to"), link.get("by"));
        }
        if (told.get("dropped") instanceof Map<?, ?> dropped && !dropped.isEmpty()) {
            out.println("dropped: " + dropped);
        }
    }

    private static List<?> list(Object value) {
        return value instanceof List<?> list ? list : List.of();
    }
}
