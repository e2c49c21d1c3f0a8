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

    /** A reader that stops reading costs lines, not requests. */
    @Test
    void neverBlocksItsCallers() {
        CountDownLatch reading = new CountDownLatch(1);
        OutputStream stuck = new OutputStream() {
            @Override
            public void write(int one) {
                try {
                    reading.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        EventLog log = EventLog.to("node-1", stuck, metrics);
        for (int line = 0; line < 20_000; line++) {
            log.event(Category.FAILURE, "refused").with("line", line).write();
        }
        assertThat(metrics.counter("log.lines.left_out").getCount()).isPositive();
        reading.countDown();
        log.close();
    }

    @Test
    void saysHowManyLinesItLeftOut() {
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
