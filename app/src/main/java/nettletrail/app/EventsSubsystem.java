package nettletrail.app;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.rolling.FixedWindowRollingPolicy;
import ch.qos.logback.core.rolling.RollingFileAppender;
import ch.qos.logback.core.rolling.SizeBasedTriggeringPolicy;
import ch.qos.logback.core.spi.BasicSequenceNumberGenerator;
import ch.qos.logback.core.util.FileSize;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import nettletrail.core.SettingsSection;
import org.slf4j.LoggerFactory;

/** {@code [events]}: structured events, one JSON object a line. */
final class EventsSubsystem implements Subsystem {
    private static final int KEPT = 4;

    private final SettingsSection section = new SettingsSection("events", "Structured events: one JSON object a line.")
            .text("file", 0, 1_024, "", "where they are written; \"-\" for standard output, \"\" for nowhere")
            .integer("most_mb", 1, 10_000, 64,
                    "MB of that file, after which a new one is begun; the last four are kept");

    @Override
    public SettingsSection section() {
        return section;
    }

    @Override
    public void check(SettingsSection.Values values, Consumer<SettingsSection.Fault> faults) {
        String file = values.text("file");
        if (!file.isEmpty() && !file.equals("-")) {
            Path folder = Path.of(file).toAbsolutePath().getParent();
            if (folder == null || !Files.isDirectory(folder)) {
                faults.accept(new SettingsSection.Fault("file", "must be in a folder that is there"));
            }
        }
    }

    @Override
    public void begin(SettingsSection.Values values) {
        String file = values.text("file");
        if (file.isEmpty() || !(LoggerFactory.getILoggerFactory() instanceof LoggerContext context)) {
            return;
        }
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithThreadName(false);
        encoder.start();
        context.setSequenceNumberGenerator(new BasicSequenceNumberGenerator());
        OutputStreamAppender<ILoggingEvent> appender = file.equals("-") ? new ConsoleAppender<>()
                : rolling(context, file, values.integer("most_mb"));
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.start();
        Logger events = context.getLogger("nettletrail.events");
        events.setLevel(Level.INFO);
        events.addAppender(appender);
    }

    private static RollingFileAppender<ILoggingEvent> rolling(LoggerContext context, String file, long mostMb) {
        RollingFileAppender<ILoggingEvent> appender = new RollingFileAppender<>();
        appender.setFile(file);
        FixedWindowRollingPolicy window = new FixedWindowRollingPolicy();
        window.setContext(context);
        window.setParent(appender);
        window.setFileNamePattern(file + ".%i");
        window.setMinIndex(1);
        window.setMaxIndex(KEPT);
        window.start();
        SizeBasedTriggeringPolicy<ILoggingEvent> size = new SizeBasedTriggeringPolicy<>();
        size.setContext(context);
        size.setMaxFileSize(new FileSize(mostMb << 20));
        size.start();
        appender.setRollingPolicy(window);
        appender.setTriggeringPolicy(size);
        return appender;
    }
}
