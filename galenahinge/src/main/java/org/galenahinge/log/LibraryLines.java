package org.galenahinge.log;

import java.util.Objects;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Takes what libraries log to the structured log, as {@code library} lines, so that one reader sees all lines in one
 * form.
 */
public final class LibraryLines extends Handler {
    private static final SimpleFormatter FORMATTER = new SimpleFormatter();

    private final EventLog log;

    private LibraryLines(EventLog log) {
        this.log = log;
        setLevel(Level.INFO);
    }

    /**
     * Sends what libraries of this process log from now on to a log, and nowhere else.
     *
     * @param log the log
     */
    public static void redirectTo(EventLog log) {
        Objects.requireNonNull(log, "log");
        Logger root = LogManager.getLogManager().getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LibraryLines(log));
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        EventLog.Category category = record.getLevel().intValue() >= Level.WARNING.intValue()
                ? EventLog.Category.FAILURE
                : EventLog.Category.LIFECYCLE;
        EventLog.Line line = log.event(category, "library")
                .with("level", record.getLevel().getName())
                .with("logger", String.valueOf(record.getLoggerName()))
                .with("message", FORMATTER.formatMessage(record));
        if (record.getThrown() != null) {
            line.with("error", record.getThrown().toString());
        }
        line.write();
    }

    @Override
    public void flush() {
        // The log writes by itself.
    }

    @Override
    public void close() {
        // The log outlives its handlers.
    }
}
