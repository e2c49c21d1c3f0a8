package org.galenahinge.log;

import java.util.Objects;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Forwards {@code java.util.logging} records of libraries to the event log as {@code library} events, so that all log
 * lines of the process have the same format.
 */
public final class LibraryLogHandler extends Handler {
    private static final SimpleFormatter FORMATTER = new SimpleFormatter();

    private final EventLog log;

    private LibraryLogHandler(EventLog log) {
        this.log = log;
        setLevel(Level.INFO);
    }

    /**
     * Replaces all handlers of the root logger by one that forwards records of at least level INFO.
     *
     * @param log the log to forward to
     */
    public static void redirectTo(EventLog log) {
        Objects.requireNonNull(log, "log");
        Logger root = LogManager.getLogManager().getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LibraryLogHandler(log));
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
        // The event log flushes periodically.
    }

    @Override
    public void close() {
        // The event log is closed by its owner.
    }
}
