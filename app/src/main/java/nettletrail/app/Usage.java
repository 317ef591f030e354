package nettletrail.app;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import nettletrail.plans.Statement;
import nettletrail.plans.UsageLedger;
import nettletrail.plans.UsageLedgerSettings;
import nettletrail.plans.export.ExportClient;
import nettletrail.plans.export.ExportDecider;
import nettletrail.plans.ledger.Entry;
import nettletrail.plans.ledger.FolderDisk;
import nettletrail.plans.ledger.LedgerReader;
import nettletrail.plans.ledger.Line;
import nettletrail.plans.ledger.UnfinishedUses;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Ledgers of use on this machine's disk: read, held against their chain, and exported when their front door is gone. */
@Command(name = "usage", mixinStandardHelpOptions = true, description = "Reads and exports ledgers of use.",
        subcommands = {Usage.Statements.class, Usage.Verify.class, Usage.Export.class})
final class Usage {
    private Usage() { }

    /** A folder that holds a ledger. */
    private static FolderDisk ledger(CommandSpec spec, Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            spec.commandLine().getErr().println("usage: " + folder + " is no folder; name the folder of one ledger");
            return null;
        }
        return new FolderDisk(folder);
    }

    private static String units(long milli) {
        return java.math.BigDecimal.valueOf(milli, 3).toPlainString();
    }

    /** What customers used. */
    @Command(name = "statement", mixinStandardHelpOptions = true, description = "Units by customer, plan and kind of line.")
    static final class Statements implements Callable<Integer> {
        @Parameters(arity = "1..*", paramLabel = "FOLDER", description = "The ledgers' folders.")
        private List<Path> folders;
        @Option(names = "--customer", paramLabel = "HEX", defaultValue = "", description = "One customer only.")
        private String customer;
        @Option(names = "--plan", paramLabel = "NAME", defaultValue = "", description = "One plan only.")
        private String plan;
        @Option(names = "--from", paramLabel = "TIME", defaultValue = "", description = "From then on, as 2026-12-01T00:00:00Z.")
        private String from;
        @Option(names = "--to", paramLabel = "TIME", defaultValue = "", description = "Until before then.")
        private String to;
        @Option(names = "--lines", description = "Each line too, by its name: door/life/sequence.")
        private boolean each;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            Statement.Filter wish;
            try {
                wish = new Statement.Filter(customer.isEmpty() ? -1 : Long.parseLong(customer, 16), plan,
                        from.isEmpty() ? Long.MIN_VALUE : Instant.parse(from).toEpochMilli(),
                        to.isEmpty() ? Long.MAX_VALUE : Instant.parse(to).toEpochMilli());
            } catch (NumberFormatException e) {
                spec.commandLine().getErr().println("usage: --customer must be up to 16 hex digits, as in X-Customer");
                return App.UNUSABLE;
            } catch (DateTimeParseException e) {
                spec.commandLine().getErr().println("usage: --from and --to must be times such as 2026-12-01T00:00:00Z");
                return App.UNUSABLE;
            }
            PrintWriter out = spec.commandLine().getOut();
            Statement statement = new Statement();
            long missing = 0;
            for (Path folder : folders) {
                FolderDisk disk = ledger(spec, folder);
                if (disk == null) {
                    return App.UNUSABLE;
                }
                List<Line> lines = new ArrayList<>();
                LedgerReader.LedgerContents found = LedgerReader.read(disk, entry -> {
                    Line line = Line.of(entry);
                    if (line != null && wish.matches(line)) {
                        statement.add(line);
                        if (each) {
                            lines.add(line);
                        }
                    }
                });
                missing += found.missing();
                lines.forEach(line -> out.printf("%s/%s/%d  %s  %016x  %-12s %-10s request %016x  %s%s%n", found.door(), found.life(),
                        line.sequence(), Instant.ofEpochMilli(line.wallMs()), line.customer(), line.plan(), line.kind(),
                        line.request(), units(line.milli()), line.text().isEmpty() ? "" : "  (" + line.text() + ")"));
            }
            statement.sums().forEach((key, sum) -> out.printf("%016x  %-12s %-10s %8d lines  %s units%n", key.customer(), key.plan(),
                    key.kind(), sum.lines(), units(sum.milli())));
            out.println("in all " + units(statement.milli()) + " units");
            out.flush();
            if (missing > 0) {
                spec.commandLine().getErr().println("usage: " + missing + " entries are missing; see usage verify");
                return 1;
            }
            return 0;
        }
    }

    /** Whether a ledger is what it was. */
    @Command(name = "verify", mixinStandardHelpOptions = true,
            description = "Holds a ledger against its checksums and its chain; exits with 1 if something that counted is missing "
                    + "or changed.")
    static final class Verify implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "The ledger's folder.")
        private Path folder;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            FolderDisk disk = ledger(spec, folder);
            if (disk == null) {
                return App.UNUSABLE;
            }
            LedgerReader.LedgerContents found = LedgerReader.read(disk, entry -> { });
            PrintWriter out = spec.commandLine().getOut();
            if (found.door() == null) {
                out.println(folder + ": no ledger");
                return App.UNUSABLE;
            }
            out.println(found.door() + "/" + found.life() + ": entries to " + found.last() + ", " + found.segments().size()
                    + " segments, token " + found.token() + ", " + found.missing() + " entries missing");
            found.damages().forEach(damage -> out.println((damage.isSerious() ? "BAD  " : "note ") + damage.segment() + " at " + damage.at()
                    + ", " + damage.bytes() + " bytes: " + damage.description()));
            out.println("chain " + found.chain() + " over " + found.segments().get(found.segments().size() - 1));
            out.flush();
            return found.missing() > 0 || found.damages().stream().anyMatch(LedgerReader.SegmentDamage::isSerious) ? 1 : 0;
        }
    }

    /** Takes a dead front door's ledger over and exports what is left of it. */
    @Command(name = "export", mixinStandardHelpOptions = true, description = "Takes over the ledger of a front door that is gone, ends "
            + "the uses that it left open, and exports the rest. If it isn't gone, it takes its ledger back.")
    static final class Export implements Callable<Integer> {
        private static final UsageLedgerSettings TERMS = new UsageLedgerSettings(8 << 20, 10_000, 10_000, UnfinishedUses.Rule.NOTHING,
                new ExportDecider.Terms(1_000, 1, 100_000_000L, 10_000_000_000L, 60_000_000_000L));

        @Parameters(paramLabel = "FOLDER", description = "The ledger's folder.")
        private Path folder;
        @Option(names = "--to", paramLabel = "URL", description = "The receiver.")
        private URI to;
        @Option(names = "--shelf", description = "Only lists the batches that the receiver turned down.")
        private boolean shelf;
        @Option(names = "--seconds", paramLabel = "N", defaultValue = "60", description = "For so long at most (default ${DEFAULT-VALUE}).")
        private int seconds;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            FolderDisk disk = ledger(spec, folder);
            if (disk == null || !shelf && to == null) {
                spec.commandLine().getErr().println(disk == null ? "" : "usage: export needs --to URL, or --shelf");
                return App.UNUSABLE;
            }
            PrintWriter out = spec.commandLine().getOut();
            if (shelf) {
                LedgerReader.read(disk, entry -> {
                    if (entry.event() instanceof Entry.BatchRejected shelved) {
                        out.println("entries to " + shelved.to() + ": " + shelved.why());
                    }
                });
                return 0;
            }
            UsageLedger ledger = UsageLedger.adopt(TERMS, disk, new ExportClient(to, Duration.ofSeconds(10)), System::currentTimeMillis,
                    found -> out.println(found.door() + "/" + found.life() + ": " + found.last() + " entries, " + found.missing()
                            + " missing"));
            if (ledger == null) {
                spec.commandLine().getErr().println("usage: " + folder + " holds no ledger");
                return App.UNUSABLE;
            }
            try (ledger) {
                long until = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
                ExportDecider.Status status = ledger.exportStatus();
                while (System.nanoTime() < until && (status == null || !status.isDone())) {
                    Thread.sleep(50);
                    status = ledger.exportStatus();
                }
                boolean done = status != null && status.isDone();
                out.println(done ? "exported up to entry " + status.taken() + ", shelved batches: " + status.shelved()
                        : "not done: " + status + "; try again, or see to the receiver");
                return done ? 0 : 1;
            }
        }
    }
}
