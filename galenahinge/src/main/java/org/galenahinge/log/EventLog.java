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
 * Writes events as JSON lines, one line each. Never blocks the logging thread: a line is dropped when the queue is full
 * or its category exceeds its rate, and the number of dropped lines is logged every 5 seconds.
 *
 * <pre>
 * log.event(Category.REQUEST, "placed").with("request", id).with("upstream", server).write();
 * </pre>
 */
public final class EventLog implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 4_096;
    private static final Duration FLUSH_INTERVAL = Duration.ofMillis(100);
    private static final Duration DROPPED_COUNT_INTERVAL = Duration.ofSeconds(5);

    private final String node;
    private final OutputStream out;
    private final MpscArrayQueue<String> queue = new MpscArrayQueue<>(QUEUE_CAPACITY);
    private final Map<Category, TokenBucket> rateLimits = new EnumMap<>(Category.class);
    private final Map<Category, Long> droppedByCategory = new EnumMap<>(Category.class);
    private final Counter writtenLines;
    private final Counter droppedLines;
    private final Thread writer;
    private volatile boolean closed;

    private EventLog(String node, OutputStream out, MetricRegistry metrics) {
        this.node = node;
        this.out = out;
        this.writtenLines = metrics.counter("log.lines.written");
        this.droppedLines = metrics.counter("log.lines.left_out");
        for (Category category : Category.values()) {
            rateLimits.put(category, TokenBucket.full(category.linesPerSecond, category.burst, System.nanoTime()));
        }
        this.writer = new Thread(this::writeLines, "log");
        this.writer.setDaemon(true);
    }

    /**
     * Creates a log that writes to the standard output, and starts its writer thread.
     *
     * @param node the name of this VM, written to each line
     * @param metrics the registry in which written and dropped lines are counted
     * @return the log
     */
    public static EventLog toStandardOutput(String node, MetricRegistry metrics) {
        return to(node, new FileOutputStream(FileDescriptor.out), metrics);
    }

    /**
     * Creates a log and starts its writer thread.
     *
     * @param node the name of this VM, written to each line
     * @param out the stream to write to; if it blocks, only the writer thread waits
     * @param metrics the registry in which written and dropped lines are counted
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

    /**
     * What an event is about. Each category has its own rate limit, so that routine events cannot displace failures or
     * changes of state.
     */
    public enum Category {
        /** Start, stop or reload of this process; loss or recovery of something that it depends on. */
        LIFECYCLE(50, 200),
        /** A change of what this process knows about upstreams, entries, weights or configuration. */
        BELIEF(50, 300),
        /** A failure, such as a request that failed or was rejected. */
        FAILURE(50, 200),
        /** A request that succeeded. */
        REQUEST(60, 200);

        private final double linesPerSecond;
        private final double burst;

        Category(double linesPerSecond, double burst) {
            this.linesPerSecond = linesPerSecond;
            this.burst = burst;
        }
    }

    /**
     * Creates a line for an event. A line above its category's rate is counted as dropped and writes nothing.
     *
     * @param category what the event is about
     * @param event the event's name, for example {@code refused}
     * @return the line, to be completed with fields and written by {@link Line#write()}
     */
    public Line event(Category category, String event) {
        return tryAcquire(category) ? new Line(this, category, event) : Line.DROPPED;
    }

    /** Writes the queued lines and stops the writer thread. Waits for at most 500 ms. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(writer);
        try {
            writer.join(FLUSH_INTERVAL.multipliedBy(5).toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean tryAcquire(Category category) {
        TokenBucket bucket = rateLimits.get(category);
        var remaining = bucket.take(1, System.nanoTime());
        if (remaining.isPresent()) {
            rateLimits.put(category, remaining.get());
            return true;
        }
        countDropped(category);
        return false;
    }

    private synchronized void countDropped(Category category) {
        droppedByCategory.merge(category, 1L, Long::sum);
        droppedLines.inc();
    }

    private void enqueue(Category category, String line) {
        if (!queue.offer(line)) {
            countDropped(category);
        }
    }

    private void writeLines() {
        long nextDroppedCountNanos = System.nanoTime() + DROPPED_COUNT_INTERVAL.toNanos();
        try {
            while (true) {
                boolean closing = closed;
                drain();
                if (System.nanoTime() - nextDroppedCountNanos >= 0 || closing) {
                    writeDroppedCounts();
                    nextDroppedCountNanos = System.nanoTime() + DROPPED_COUNT_INTERVAL.toNanos();
                }
                if (closing) {
                    return;
                }
                LockSupport.parkNanos(FLUSH_INTERVAL.toNanos());
            }
        } catch (IOException e) {
            // The output stream is closed or broken; the process continues without a log.
            droppedLines.inc();
        }
    }

    private void drain() throws IOException {
        StringBuilder batch = new StringBuilder();
        int lines = 0;
        for (String line = queue.relaxedPoll(); line != null; line = queue.relaxedPoll()) {
            batch.append(line).append('\n');
            lines++;
        }
        if (lines > 0) {
            out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
            writtenLines.inc(lines);
        }
    }

    private synchronized void writeDroppedCounts() {
        for (Map.Entry<Category, Long> entry : droppedByCategory.entrySet()) {
            Line line = new Line(this, Category.LIFECYCLE, "lines_left_out");
            line.with("category", entry.getKey().name()).with("count", entry.getValue());
            try {
                out.write((line.finish() + "\n").getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        droppedByCategory.clear();
    }

    /** A line to which fields are added. Not thread-safe. */
    public static final class Line {
        /** Ignores its fields and writes nothing. */
        private static final Line DROPPED = new Line();

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
         * Adds a string field.
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
         * Adds a number field.
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

        /** Completes the line and queues it for the writer thread. */
        public void write() {
            if (text != null) {
                log.enqueue(category, finish());
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
