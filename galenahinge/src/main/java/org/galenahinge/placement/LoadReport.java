package org.galenahinge.placement;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.upstream.WeightsVersion;

/**
 * A slot process's report of its upstream's load.
 *
 * @param running requests in the batch
 * @param waiting requests that wait for a slot
 * @param contextTokens total context of the batch, in tokens
 * @param pace how many times slower than its published figures the engine works
 * @param loading whether it is loading weights and accepts no new requests
 * @param untilReload time until its scheduled reload, empty if none is known
 * @param weights the weights that it serves
 * @param share this node's share of the free slots
 */
public record LoadReport(
        int running,
        int waiting,
        double contextTokens,
        double pace,
        boolean loading,
        Optional<Duration> untilReload,
        Optional<WeightsVersion> weights,
        SlotShare share) {
    /** Rejects null components. */
    public LoadReport {
        Objects.requireNonNull(untilReload, "untilReload");
        Objects.requireNonNull(weights, "weights");
        Objects.requireNonNull(share, "share");
    }

    /**
     * Creates a report that does not say how the free slots are shared.
     *
     * @param running requests in the batch
     * @param waiting requests that wait for a slot
     * @param contextTokens total context of the batch, in tokens
     * @param pace how many times slower than its published figures the engine works
     * @param loading whether it is loading weights and accepts no new requests
     * @param untilReload time until its scheduled reload, empty if none is known
     * @param weights the weights that it serves
     */
    public LoadReport(
            int running,
            int waiting,
            double contextTokens,
            double pace,
            boolean loading,
            Optional<Duration> untilReload,
            Optional<WeightsVersion> weights) {
        this(running, waiting, contextTokens, pace, loading, untilReload, weights, SlotShare.UNKNOWN);
    }
}
