package org.galenahinge.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.galenahinge.log.EventLog.Category;
import org.junit.jupiter.api.Test;

class EventLogTest {
    private final MetricRegistry metrics = new MetricRegistry();

    @Test
    void writesOneJsonLineForEachEvent() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = EventLog.to("node-1", out, metrics);
        log.event(Category.FAILURE, "refused")
                .with("detail", "a \"quoted\"\n line")
                .with("count", 3)
                .write();
        log.close();
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("\"node\":\"node-1\",\"event\":\"refused\"")
                .contains("\"detail\":\"a \\\"quoted\\\"\\u000a line\",\"count\":3}\n");
    }

    /** A blocked output stream must not block the logging thread: lines are dropped instead. */
    @Test
    void dropsLinesInsteadOfBlockingTheCaller() {
        CountDownLatch unblocked = new CountDownLatch(1);
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int oneByte) {
                try {
                    unblocked.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        EventLog log = EventLog.to("node-1", blocked, metrics);
        for (int line = 0; line < 20_000; line++) {
            log.event(Category.FAILURE, "refused").with("line", line).write();
        }
        assertThat(metrics.counter("log.lines.left_out").getCount()).isPositive();
        unblocked.countDown();
        log.close();
    }

    @Test
    void logsTheNumberOfDroppedLines() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = EventLog.to("node-1", out, metrics);
        for (int line = 0; line < 5_000; line++) {
            log.event(Category.REQUEST, "placed").write();
        }
        log.close();
        await().untilAsserted(() ->
                assertThat(out.toString(StandardCharsets.UTF_8)).contains("\"event\":\"lines_left_out\""));
    }
}
