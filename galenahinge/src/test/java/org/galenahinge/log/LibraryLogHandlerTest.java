package org.galenahinge.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LibraryLogHandlerTest {
    private final Logger root = LogManager.getLogManager().getLogger("");
    private final Handler[] originalHandlers = root.getHandlers();

    @Test
    void forwardsLibraryRecordsToTheEventLog() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        EventLog log = EventLog.to("node-1", written, new MetricRegistry());
        LibraryLogHandler.redirectTo(log);
        Logger library = Logger.getLogger("some.library");
        library.log(Level.WARNING, "cannot read {0}", "a \"name\"");
        library.log(Level.SEVERE, "failed", new IllegalStateException("why"));
        library.log(Level.FINE, "detail");
        log.close();
        assertThat(written.toString(StandardCharsets.UTF_8).lines())
                .hasSize(2)
                .allMatch(line -> line.startsWith("{") && line.contains("\"event\":\"library\""))
                .anyMatch(line -> line.contains("cannot read a \\\"name\\\""))
                .anyMatch(line -> line.contains("IllegalStateException: why"));
        assertThat(root.getHandlers()).hasSize(1);
    }

    @AfterEach
    void restoreHandlers() {
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        for (Handler handler : originalHandlers) {
            root.addHandler(handler);
        }
    }
}
