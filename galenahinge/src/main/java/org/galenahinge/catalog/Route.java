package org.galenahinge.catalog;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Which requests belong to a route, and how they are served.
 *
 * @param name its name
 * @param host the host name that requests of the route are sent to
 * @param prefix the prefix of the paths that belong to the route, beginning and ending with a slash
 * @param kind whether requests may be retried and responses are streams
 * @param timeout the maximum duration of a request
 * @param targetLatency the maximum time to the response, or to a stream's first event, that counts as on time
 * @param targetEventGap the maximum pause between events of a stream that counts as on time, zero if there is none
 * @param priority the priority of its requests, 0 highest
 * @param backends the services that share its requests, never empty
 * @param maximumAttempts the maximum number of attempts per request, at least 1
 * @param allowsAnonymous whether requests need no key
 * @param allowedRegions the regions in which its requests may be served, empty for any
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        Duration timeout,
        Duration targetLatency,
        Duration targetEventGap,
        int priority,
        List<Backend> backends,
        int maximumAttempts,
        boolean allowsAnonymous,
        Set<String> allowedRegions) {
    /** Copies the collections; rejects a route without backends or attempts. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(targetLatency, "targetLatency");
        Objects.requireNonNull(targetEventGap, "targetEventGap");
        backends = List.copyOf(backends);
        allowedRegions = Set.copyOf(allowedRegions);
        if (backends.isEmpty()) {
            throw new IllegalArgumentException("backends must not be empty");
        }
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("maximumAttempts must be at least 1: " + maximumAttempts);
        }
    }

    /**
     * Creates a route whose requests may be served in any region.
     *
     * @param name its name
     * @param host the host name that requests of the route are sent to
     * @param prefix the prefix of the paths that belong to the route, beginning and ending with a slash
     * @param kind whether requests may be retried and responses are streams
     * @param timeout the maximum duration of a request
     * @param targetLatency the maximum time to the response, or to a stream's first event, that counts as on time
     * @param targetEventGap the maximum pause between events of a stream that counts as on time, zero if there is none
     * @param priority the priority of its requests, 0 highest
     * @param backends the services that share its requests, never empty
     * @param maximumAttempts the maximum number of attempts per request, at least 1
     * @param allowsAnonymous whether requests need no key
     */
    public Route(
            String name,
            String host,
            String prefix,
            RequestKind kind,
            Duration timeout,
            Duration targetLatency,
            Duration targetEventGap,
            int priority,
            List<Backend> backends,
            int maximumAttempts,
            boolean allowsAnonymous) {
        this(
                name,
                host,
                prefix,
                kind,
                timeout,
                targetLatency,
                targetEventGap,
                priority,
                backends,
                maximumAttempts,
                allowsAnonymous,
                Set.of());
    }

    /**
     * Picks the service for one request, with probabilities in proportion to the backends' weights.
     *
     * @param random a random number from 0 inclusive to 1 exclusive
     * @return the service's name
     */
    public String pickService(double random) {
        double total = backends.stream().mapToDouble(Backend::weight).sum();
        double remaining = random * total;
        for (Backend backend : backends) {
            remaining -= backend.weight();
            if (remaining < 0) {
                return backend.service();
            }
        }
        return backends.get(backends.size() - 1).service();
    }
}
