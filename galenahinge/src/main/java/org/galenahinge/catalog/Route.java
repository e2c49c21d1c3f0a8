package org.galenahinge.catalog;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * One route: which requests it takes and how they are served.
 *
 * @param name its name
 * @param host the host that it belongs to
 * @param prefix the paths that it takes, beginning and ending with a slash
 * @param kind what may be repeated
 * @param timeout the longest that a request may be kept
 * @param targetLatency within which an answer, or a stream's first event, is on time
 * @param targetGap the longest pause between events of a stream that is on time, zero where there is none
 * @param priority its rank, 0 first
 * @param backends who serves it, never empty
 * @param maximumAttempts the most upstreams that one request may be sent to
 * @param openToAll whether no key is needed
 */
public record Route(
        String name,
        String host,
        String prefix,
        CallKind kind,
        Duration timeout,
        Duration targetLatency,
        Duration targetGap,
        int priority,
        List<Backend> backends,
        int maximumAttempts,
        boolean openToAll) {
    /** Checks and copies the parts. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(targetLatency, "targetLatency");
        Objects.requireNonNull(targetGap, "targetGap");
        backends = List.copyOf(backends);
        if (backends.isEmpty()) {
            throw new IllegalArgumentException("backends must not be empty");
        }
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("maximumAttempts must be at least 1: " + maximumAttempts);
        }
    }

    /**
     * Picks the service for one request, by the backends' weights.
     *
     * @param draw a random number from 0 inclusive to 1 exclusive
     * @return the service's name
     */
    public String pickService(double draw) {
        double total = backends.stream().mapToDouble(Backend::weight).sum();
        double left = draw * total;
        for (Backend backend : backends) {
            left -= backend.weight();
            if (left < 0) {
                return backend.service();
            }
        }
        return backends.get(backends.size() - 1).service();
    }
}
