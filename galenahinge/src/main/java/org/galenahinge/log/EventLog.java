package org.galenahinge.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.locks.LockSupport;
import org.galenahinge.limit.TokenBucket;
import org.jctools.queues.MpscArrayQueue;

/**
 * Writes one JSON line for each decision, to the standard output. Never blocks its callers: a line that finds the ring
 * full, or its category past its rate, is left out and counted, and the count is written later.
 *
 * <pre>
 * log.event(Category.REQUEST, "placed").with("request", id).with("upstream", server).write();
 * </pre>
 */
public final class EventLog implements AutoCloseable {
    private static final int RING_LINES = 4_096;
    private static final Duration FLUSH_EVERY = Duration.ofMillis(100);
    private static final Duration COUNT_EVERY = Duration.ofSeconds(5);

    private final String node;
    private final OutputStream out;
    private final MpscArrayQueue<String> ring = new MpscArrayQueue<>(RING_LINES);
    private final Map<Category, TokenBucket> rates = new EnumMap<>(Category.class);
    private final Map<Category, Long> leftOut = new EnumMap<>(Category.class);
    private final Counter written;
    private final Counter suppressed;
    private final Thread writer;
    private volatile boolean closed;

    private EventLog(String node, OutputStream out, MetricRegistry metrics) {
        this.node = node;
        this.out = out;
        this.written = metrics.counter("log.lines.written");
        this.suppressed = metrics.counter("log.lines.left_out");
        for (Category category : Category.values()) {
            rates.put(category, TokenBucket.full(category.linesPerSecond, category.burst, System.nanoTime()));
        }
        this.writer = new Thread(this::writeLines, "log");
        this.writer.setDaemon(true);
    }

    /**
     * Creates a log on the standard output.
     *
     * @param node the name of the own VM
     * @param metrics where lines are counted
     * @return the log
     */
    public static EventLog toStandardOutput(String node, MetricRegistry metrics) {
        return to(node, new FileOutputStream(FileDescriptor.out), metrics);
    }

    /**
     * Creates a log.
     *
     * @param node the name of the own VM
     * @param out where lines go; it may block the log's own thread
     * @param metrics where lines are counted
     * @return the log
     */
    public static EventLog to(String node, OutputStream out, MetricRegistry metrics) {
        EventLog log = new EventLog(
                Objects.requireNonNull(node, "node"),
                Objects.requireNonNull(out, "out"),
                Objects.requireNonNull(metrics, "metrics"));
        log.writer.start();
        return log;
    }

    /** What a line is about. Failures and changes of belief have a rate of their own, so routine cannot crowd them out. */
    public enum Category {
        /** Start, stop, reload, and what is lost and regained. */
        LIFECYCLE(50, 200),
        /** A change of what the process believes. */
        BELIEF(50, 300),
        /** A request that failed or was refused. */
        FAILURE(50, 200),
        /** A request that went well. */
        REQUEST(60, 200);

        private final double linesPerSecond;
        private final double burst;

        Category(double linesPerSecond, double burst) {
            this.linesPerSecond = linesPerSecond;
            this.burst = burst;
        }
    }

    /**
     * Begins a line.
     *
     * @param category what it is about
     * @param event its name, for example {@code refused}
     * @return the line, to be written by {@link Line#write()}
     */
    public Line event(Category category, String event) {
        return isWithinRate(category) ? new Line(this, category, event) : Line.LEFT_OUT;
    }

    /** Writes what waits and ends the log's thread. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(writer);
        try {
            writer.join(FLUSH_EVERY.multipliedBy(5).toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean isWithinRate(Category category) {
        TokenBucket bucket = rates.get(category);
        var taken = bucket.take(1, System.nanoTime());
        if (taken.isPresent()) {
            rates.put(category, taken.get());
            return true;
        }
        countLeftOut(category);
        return false;
    }

    private synchronized void countLeftOut(Category category) {
        leftOut.merge(category, 1L, Long::sum);
        suppressed.inc();
    }

    private void offer(Category category, String line) {
        if (!ring.offer(line)) {
            countLeftOut(category);
        }
    }

    private void writeLines() {
        long nextCountNanos = System.nanoTime() + COUNT_EVERY.toNanos();
        try {
            while (true) {
                boolean last = closed;
                drain();
                if (System.nanoTime() - nextCountNanos >= 0 || last) {
                    writeLeftOut();
                    nextCountNanos = System.nanoTime() + COUNT_EVERY.toNanos();
                }
                if (last) {
                    return;
                }
                LockSupport.parkNanos(FLUSH_EVERY.toNanos());
            }
        } catch (IOException e) {
            // Nobody reads the standard output any more; the process goes on without a log.
            suppressed.inc();
        }
    }

    private void drain() throws IOException {
        StringBuilder batch = new StringBuilder();
        int lines = 0;
        for (String line = ring.relaxedPoll(); line != null; line = ring.relaxedPoll()) {
            batch.append(line).append('\n');
            lines++;
        }
        if (lines > 0) {
            out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
            written.inc(lines);
        }
    }

    private synchronized void writeLeftOut() {
        for (Map.Entry<Category, Long> entry : leftOut.entrySet()) {
            Line line = new Line(this, Category.LIFECYCLE, "lines_left_out");
            line.with("category", entry.getKey().name()).with("count", entry.getValue());
            try {
                out.write((line.finish() + "\n").getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        leftOut.clear();
    }

    /** A line under way. Belongs to one thread. */
    public static final class Line {
        private static final Line LEFT_OUT = new Line();

        private final EventLog log;
        private final Category category;
        private final StringBuilder text;

        private Line() {
            this.log = null;
            this.category = null;
            this.text = null;
        }

        private Line(EventLog log, Category category, String event) {
            this.log = log;
            this.category = category;
            this.text = new StringBuilder(160);
            text.append("{\"at\":").append(System.currentTimeMillis());
            with("node", log.node);
            with("event", event);
        }

        /**
         * Adds a text.
         *
         * @param name the field's name
         * @param value its value
         * @return this line
         */
        public Line with(String name, String value) {
            if (text != null) {
                text.append(",\"").append(name).append("\":\"");
                escape(value);
                text.append('"');
            }
            return this;
        }

        /**
         * Adds a number.
         *
         * @param name the field's name
         * @param value its value
         * @return this line
         */
        public Line with(String name, long value) {
            if (text != null) {
                text.append(",\"").append(name).append("\":").append(value);
            }
            return this;
        }

        /** Hands the line over. */
        public void write() {
            if (text != null) {
                log.offer(category, finish());
            }
        }

        private String finish() {
            return text.append('}').toString();
        }

        private void escape(String value) {
            for (int index = 0; index < value.length(); index++) {
                char character = value.charAt(index);
                if (character == '"' || character == '\\') {
                    text.append('\\').append(character);
                } else if (character < ' ') {
                    text.append(String.format("\\u%04x", (int) character));
                } else {
                    text.append(character);
                }
            }
        }
    }
}
