package org.galenahinge.placement;

import java.util.Objects;
import java.util.Optional;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.WeightsVersion;

/**
 * An upstream of the requested service, with what this node knows of its load.
 *
 * @param upstream the upstream
 * @param load its load
 */
public record PlacementCandidate(Upstream upstream, UpstreamLoad load) {
    /** Rejects null components. */
    public PlacementCandidate {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(load, "load");
    }

    /**
     * Returns the weights that the upstream is believed to serve: those of its last report, or of its record if there is no
     * recent report.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the weights, or empty if it has none
     */
    public Optional<WeightsVersion> weights(long nowNanos) {
        Optional<LoadReport> report = load.report(nowNanos);
        return report.isPresent() ? report.get().weights() : upstream.weights();
    }
}
