package org.galenahinge.routing;

import java.util.Objects;

/**
 * Holds what an entry knows of one replica: what its slot process last reported and what the entry itself has in
 * flight there. Immutable.
 *
 * @param vm the replica's VM
 * @param target the model or service that it serves
 * @param weightsKey the exact weights that it holds, empty for a plain service
 * @param fingerprint the fingerprint of those weights, empty for a plain service
 * @param ready whether it takes work
 * @param reportedLoad calls running and waiting there, as last reported
 * @param reportedOwn how many of the reported calls were this entry's own
 * @param ownInFlight this entry's own calls there now
 * @param capacity the most calls that it runs at once
 * @param suspectUntilNanos until when it is avoided, in nanoseconds
 * @param latencyNanos smoothed time to the first byte, in nanoseconds; 0 when unknown
 */
public record Replica(
        String vm,
        String target,
        String weightsKey,
        String fingerprint,
        boolean ready,
        int reportedLoad,
        int reportedOwn,
        int ownInFlight,
        int capacity,
        long suspectUntilNanos,
        double latencyNanos) {
    private static final double SMOOTHING = 0.2;

    /** Checks the parts. */
    public Replica {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(target, "target");
        if (ownInFlight < 0) {
            throw new IllegalStateException("own calls in flight at " + vm + " fell below 0");
        }
    }

    /**
     * Estimates the load now: what was reported, less what was ours then, plus what is ours now.
     *
     * @return calls running and waiting
     */
    public int load() {
        return Math.max(0, reportedLoad - reportedOwn) + ownInFlight;
    }

    Replica reported(Report report) {
        return new Replica(
                vm,
                report.target(),
                report.weightsKey(),
                report.fingerprint(),
                report.ready(),
                report.load(),
                Math.min(ownInFlight, report.load()),
                ownInFlight,
                report.capacity(),
                suspectUntilNanos,
                latencyNanos);
    }

    Replica started() {
        return withOwn(ownInFlight + 1, suspectUntilNanos, latencyNanos);
    }

    Replica finished() {
        return withOwn(ownInFlight - 1, suspectUntilNanos, latencyNanos);
    }

    Replica measured(double newLatencyNanos) {
        double smoothed =
                latencyNanos == 0 ? newLatencyNanos : latencyNanos + SMOOTHING * (newLatencyNanos - latencyNanos);
        return withOwn(ownInFlight, suspectUntilNanos, smoothed);
    }

    Replica suspect(long untilNanos) {
        return withOwn(ownInFlight, untilNanos, latencyNanos);
    }

    private Replica withOwn(int own, long suspectUntil, double latency) {
        return new Replica(
                vm,
                target,
                weightsKey,
                fingerprint,
                ready,
                reportedLoad,
                reportedOwn,
                own,
                capacity,
                suspectUntil,
                latency);
    }

    /**
     * What a slot process reports of itself.
     *
     * @param vm its VM
     * @param target the model or service that it serves
     * @param weightsKey the exact weights that it holds, empty for a plain service
     * @param fingerprint the fingerprint of those weights, empty for a plain service
     * @param ready whether it takes work
     * @param load calls running and waiting
     * @param capacity the most calls that it runs at once
     */
    public record Report(
            String vm, String target, String weightsKey, String fingerprint, boolean ready, int load, int capacity) {}
}
