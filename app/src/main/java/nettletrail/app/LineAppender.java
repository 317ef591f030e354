package nettletrail.app;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import nettletrail.core.Log;

/** What libraries log, as lines of the front door's log. Named in {@code logback.xml}. */
public final class LineAppender extends AppenderBase<ILoggingEvent> {
    /** For Logback. */
    public LineAppender() { }

    @Override
    protected void append(ILoggingEvent event) {
        Log.line(event.getLoggerName() + ": " + event.getFormattedMessage()
                + (event.getThrowableProxy() == null ? "" : ": " + event.getThrowableProxy().getClassName() + " "
                        + event.getThrowableProxy().getMessage()));
    }
}
