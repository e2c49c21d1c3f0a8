package org.galenahinge.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.util.Locale;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/** Configures Logback to log to the standard error stream, as JSON or plain text. */
public final class LogSetup {
    private static final String PLAIN_PATTERN = "%d{HH:mm:ss.SSS} %-5level [%thread] %logger{0}: %msg%n";

    private LogSetup() {}

    /**
     * Configures the log of this process.
     *
     * @param format {@code json} or {@code plain}
     * @param level the minimum level that is logged; an unknown one means {@code info}
     */
    public static void apply(String format, String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder(format, context));
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level.toUpperCase(Locale.ROOT), Level.INFO));
        root.addAppender(appender);
        context.getLogger("org.apache.pekko").setLevel(Level.WARN);
        // It logs an error for each streamed response that is aborted on purpose; the decision log records those with
        // their verdict.
        context.getLogger("org.apache.pekko.actor.ActorSystemImpl").setLevel(Level.OFF);
        context.getLogger("io.netty").setLevel(Level.WARN);
    }

    private static Encoder<ILoggingEvent> encoder(String format, LoggerContext context) {
        if (format.equals("json")) {
            LogstashEncoder json = new LogstashEncoder();
            json.setContext(context);
            json.start();
            return json;
        }
        PatternLayoutEncoder plain = new PatternLayoutEncoder();
        plain.setContext(context);
        plain.setPattern(PLAIN_PATTERN);
        plain.start();
        return plain;
    }
}
