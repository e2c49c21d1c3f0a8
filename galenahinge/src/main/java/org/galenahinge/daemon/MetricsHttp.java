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

/** The HTTP endpoints that every daemon serves: {@code /health}, {@code /ready} and {@code /metrics}. */
public final class MetricsHttp {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final MetricRegistry metrics;
    private final BooleanSupplier ready;

    /**
     * Creates the endpoints and registers gauges of the process's memory and CPU time.
     *
     * @param metrics the metrics that {@code /metrics} returns
     * @param ready whether the process is ready for work
     */
    public MetricsHttp(MetricRegistry metrics, BooleanSupplier ready) {
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.ready = Objects.requireNonNull(ready, "ready");
        metrics.gauge("process.memory.used.bytes", () -> MetricsHttp::usedMemory);
        metrics.gauge("process.cpu.nanos", () -> MetricsHttp::cpuNanos);
    }

    /**
     * Responds to a request for one of the endpoints.
     *
     * @param path the path of the request
     * @return the response, or empty when the path is not one of the endpoints
     */
    public Optional<HttpDocument> respond(String path) {
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
        metrics.getGauges().forEach((name, gauge) -> document.put(name, toLong(gauge)));
        metrics.getHistograms().forEach((name, histogram) -> document.set(name, toJson(histogram)));
        try {
            return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(document) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static long toLong(Gauge<?> gauge) {
        return gauge.getValue() instanceof Number value ? value.longValue() : 0;
    }

    private static ObjectNode toJson(Histogram histogram) {
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

    private static long cpuNanos() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(Duration::toNanos)
                .orElse(0L);
    }
}
