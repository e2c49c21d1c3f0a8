package org.galenahinge.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Objects;
import org.galenahinge.http.HttpDocument;

/** Writes metrics in the Prometheus text format: a name and a number per line. */
final class MetricsText {
    private static final String PREFIX = "galenahinge_";

    private MetricsText() {}

    static HttpDocument of(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder(4_096);
        Objects.requireNonNull(metrics, "metrics")
                .getCounters()
                .forEach((name, counter) -> line(text, name + ".total", counter.getCount()));
        metrics.getGauges().forEach((name, gauge) -> line(text, name, number(gauge)));
        metrics.getHistograms().forEach((name, histogram) -> {
            Snapshot snapshot = histogram.getSnapshot();
            line(text, name + ".count", histogram.getCount());
            line(text, name + ".median", snapshot.getMedian());
            line(text, name + ".p95", snapshot.get95thPercentile());
            line(text, name + ".p99", snapshot.get99thPercentile());
            line(text, name + ".max", snapshot.getMax());
        });
        return HttpDocument.text(200, "text/plain; version=0.0.4", text.toString());
    }

    private static double number(Gauge<?> gauge) {
        return gauge.getValue() instanceof Number value ? value.doubleValue() : Double.NaN;
    }

    private static void line(StringBuilder text, String name, double value) {
        text.append(PREFIX)
                .append(name.replace('.', '_'))
                .append(' ')
                .append(value)
                .append('\n');
    }
}
