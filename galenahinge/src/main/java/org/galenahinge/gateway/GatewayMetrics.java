package org.galenahinge.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;

/** Counts what becomes of requests. */
final class GatewayMetrics {
    private static final int LATENCIES_KEPT = 512;

    private final MetricRegistry registry;
    private final Counter requests;
    private final Counter repeats;
    private final Histogram firstByteMillis;
    private final Histogram predictionErrorMillis;
    private final Histogram waitedMillis;

    GatewayMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.requests = registry.counter("gateway.requests");
        this.repeats = registry.counter("gateway.repeats");
        this.firstByteMillis = histogram("gateway.first_byte.millis");
        this.predictionErrorMillis = histogram("gateway.prediction_error.millis");
        this.waitedMillis = histogram("gateway.waited.millis");
    }

    void request() {
        requests.inc();
    }

    void repeat() {
        repeats.inc();
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
        return registry.histogram(name, () -> new Histogram(new SlidingWindowReservoir(LATENCIES_KEPT)));
    }
}
