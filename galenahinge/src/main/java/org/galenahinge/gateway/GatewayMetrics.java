package org.galenahinge.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;

/** Counts requests, retries and outcomes, and measures latencies. */
final class GatewayMetrics {
    private static final int RESERVOIR_SIZE = 512;

    private final MetricRegistry registry;
    private final Counter requests;
    private final Counter retries;
    private final Counter retryAfters;
    private final Counter withdrawn;
    private final Counter closedSlowCallers;
    private final Histogram firstByteMillis;
    private final Histogram predictionErrorMillis;
    private final Histogram waitedMillis;

    GatewayMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.requests = registry.counter("gateway.requests");
        this.retries = registry.counter("gateway.repeats");
        this.retryAfters = registry.counter("upstream.retry_after");
        this.withdrawn = registry.counter("gateway.withdrawn");
        this.closedSlowCallers = registry.counter("callers.closed.slow");
        this.firstByteMillis = histogram("gateway.first_byte.millis");
        this.predictionErrorMillis = histogram("gateway.prediction_error.millis");
        this.waitedMillis = histogram("gateway.waited.millis");
    }

    void request() {
        requests.inc();
    }

    void retry() {
        retries.inc();
    }

    /** Counts a response in which an upstream named a time after which it wants requests. */
    void retryAfter() {
        retryAfters.inc();
    }

    /** Counts an attempt that had not begun when the time of its upstream's weights was over. */
    void withdrawn() {
        withdrawn.inc();
    }

    /** Counts a connection that was closed because its caller did not read, and the budget for buffers was exceeded. */
    void closedSlowCaller() {
        closedSlowCallers.inc();
    }

    void ended(String outcome) {
        registry.counter("gateway.ended." + outcome).inc();
    }

    void firstByte(long millis, long predictedMillis) {
        firstByteMillis.update(millis);
        predictionErrorMillis.update(Math.abs(millis - predictedMillis));
    }

    void waited(long millis) {
        waitedMillis.update(millis);
    }

    private Histogram histogram(String name) {
        return registry.histogram(name, () -> new Histogram(new SlidingWindowReservoir(RESERVOIR_SIZE)));
    }
}
