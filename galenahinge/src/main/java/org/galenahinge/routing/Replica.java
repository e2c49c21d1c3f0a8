package org.galenahinge.routing;

import java.util.Objects;

/**
 * What an entry knows of one replica: the last report of its slot process, and the requests that the entry itself has
 * in flight there. Immutable.
 *
 * @param vm name of the replica's VM
 * @param target the model or service that it serves
 * @param weightsKey key of the weights that it serves, empty for a plain service
 * @param fingerprint fingerprint of those weights, empty for a plain service
 * @param ready whether it accepts requests
 * @param reportedLoad requests running and waiting there, from the last report
 * @param reportedOwn how many of the reported requests were this entry's own
 * @param ownInFlight requests of this entry that are in flight there, not negative
 * @param capacity maximum number of requests that it runs at once
 * @param suspectUntilNanos time until which it is avoided, in nanoseconds
 * @param latencyNanos smoothed time to the first byte, in nanoseconds; 0 if unknown
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
    private static final double LATENCY_SMOOTHING = 0.2;

    /** Rejects null names and a negative number of requests in flight. */
    public Replica {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(target, "target");
        if (ownInFlight < 0) {
            throw new IllegalStateException("more requests ended than started at " + vm);
        }
    }

    /**
     * Estimates the present load: the reported requests of others plus this entry's requests in flight.
     *
     * @return requests running and waiting
     */
    public int load() {
        return Math.max(0, reportedLoad - reportedOwn) + ownInFlight;
    }

    Replica withReport(Report report) {
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

    Replica withRequestStarted() {
        return copy(ownInFlight + 1, suspectUntilNanos, latencyNanos);
    }

    Replica withRequestEnded() {
        return copy(ownInFlight - 1, suspectUntilNanos, latencyNanos);
    }

    Replica withLatency(double newLatencyNanos) {
        double smoothed = latencyNanos == 0
                ? newLatencyNanos
                : latencyNanos + LATENCY_SMOOTHING * (newLatencyNanos - latencyNanos);
        return copy(ownInFlight, suspectUntilNanos, smoothed);
    }

    Replica withSuspectUntil(long untilNanos) {
        return copy(ownInFlight, untilNanos, latencyNanos);
    }

    private Replica copy(int own, long suspectUntil, double latency) {
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
     * The report of a slot process.
     *
     * @param vm name of its VM
     * @param target the model or service that it serves
     * @param weightsKey key of the weights that it serves, empty for a plain service
     * @param fingerprint fingerprint of those weights, empty for a plain service
     * @param ready whether it accepts requests
     * @param load requests running and waiting
     * @param capacity maximum number of requests that it runs at once
     */
    public record Report(
            String vm, String target, String weightsKey, String fingerprint, boolean ready, int load, int capacity) {}
}
