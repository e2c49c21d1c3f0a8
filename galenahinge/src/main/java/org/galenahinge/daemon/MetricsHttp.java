package org.galenahinge.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.galenahinge.http.HttpDocument;

/** Answers what every daemon is asked over HTTP: metrics, whether it lives, and whether it is ready. */
public final class MetricsHttp {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final MetricRegistry metrics;
    private final BooleanSupplier ready;

    /**
     * Creates the answers.
     *
     * @param metrics what is shown
     * @param ready whether the process is ready for work
     */
    public MetricsHttp(MetricRegistry metrics, BooleanSupplier ready) {
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.ready = Objects.requireNonNull(ready, "ready");
        metrics.gauge("process.memory.used.bytes", () -> MetricsHttp::usedMemory);
        metrics.gauge("process.cpu.nanos", () -> MetricsHttp::processorNanos);
    }

    /**
     * Answers a request if it is one of these.
     *
     * @param path the path asked for
     * @return the answer, or empty when the path is another
     */
    public Optional<HttpDocument> answer(String path) {
        return switch (path) {
            case "/health" -> Optional.of(text(200, "alive"));
            case "/ready" -> Optional.of(ready.getAsBoolean() ? text(200, "ready") : text(503, "not ready"));
            case "/metrics" -> Optional.of(HttpDocument.text(200, "application/json", render()));
            default -> Optional.empty();
        };
    }

    private static HttpDocument text(int status, String body) {
        return HttpDocument.text(status, "text/plain; charset=utf-8", body + "\n");
    }

    private String render() {
        ObjectNode document = JSON.createObjectNode();
        metrics.getCounters().forEach((name, counter) -> document.put(name, counter.getCount()));
        metrics.getGauges().forEach((name, gauge) -> document.put(name, number(gauge)));
        metrics.getHistograms().forEach((name, histogram) -> document.set(name, summary(histogram)));
        try {
            return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(document) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static long number(Gauge<?> gauge) {
        return gauge.getValue() instanceof Number value ? value.longValue() : 0;
    }

    private static ObjectNode summary(Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        return JSON.createObjectNode()
                .put("count", histogram.getCount())
                .put("median", snapshot.getMedian())
                .put("p95", snapshot.get95thPercentile())
                .put("p99", snapshot.get99thPercentile())
                .put("max", snapshot.getMax());
    }

    private static long usedMemory() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static long processorNanos() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(Duration::toNanos)
                .orElse(0L);
    }
}
