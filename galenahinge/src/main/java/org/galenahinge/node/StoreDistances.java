package org.galenahinge.node;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * How far each failure domain is from the store, by the shortest time in which one of its entries has connected to it. What is
 * read in a failure domain near the store crosses the links of little bandwidth once for each failure domain behind them, and
 * compressed. Not thread-safe.
 */
final class StoreDistances {
    private static final int MAXIMUM_DOMAINS = 1_000;

    /** A failure domain is near if it takes no longer than this many times the shortest time. */
    private static final long NEAR_FACTOR = 2;

    /** Times up to this one are all short: they tell less of the distance than of how busy an entry was. */
    private static final Duration ALWAYS_NEAR = Duration.ofMillis(1);

    private final Map<String, Long> shortestMicros = new HashMap<>();
    private Runnable changed = () -> {};

    /** Sets the action that runs after a distance has become known or shorter. */
    void onChange(Runnable listener) {
        changed = Objects.requireNonNull(listener, "listener");
    }

    /** Records that an entry of a failure domain connected to the store. */
    void measured(String domain, Duration taken) {
        told(Map.of(domain, taken.toNanos() / 1_000));
    }

    /** Records the distances, in microseconds, that another entry knows. */
    void told(Map<String, Long> distances) {
        boolean isChanged = false;
        for (Map.Entry<String, Long> distance : distances.entrySet()) {
            isChanged |= record(distance.getKey(), distance.getValue());
        }
        if (isChanged) {
            changed.run();
        }
    }

    /** Returns the distance of a failure domain, in microseconds, empty if it is not known. */
    Optional<Long> find(String domain) {
        return Optional.ofNullable(shortestMicros.get(domain));
    }

    /** Returns the known distances by failure domain, in microseconds. */
    Map<String, Long> all() {
        return Map.copyOf(shortestMicros);
    }

    /**
     * Returns the failure domains near the store.
     *
     * @param domains the failure domains to choose from
     * @return those that are near; all if the distance of none is known
     */
    Set<String> near(Collection<String> domains) {
        OptionalLong shortest = domains.stream()
                .filter(shortestMicros::containsKey)
                .mapToLong(shortestMicros::get)
                .min();
        if (shortest.isEmpty()) {
            return Set.copyOf(domains);
        }
        long limit = Math.max(shortest.getAsLong() * NEAR_FACTOR, ALWAYS_NEAR.toNanos() / 1_000);
        return domains.stream()
                .filter(domain -> shortestMicros.getOrDefault(domain, Long.MAX_VALUE) <= limit)
                .collect(Collectors.toUnmodifiableSet());
    }

    private boolean record(String domain, long micros) {
        boolean isUsable =
                micros >= 0 && (shortestMicros.containsKey(domain) || shortestMicros.size() < MAXIMUM_DOMAINS);
        long before = shortestMicros.getOrDefault(domain, Long.MAX_VALUE);
        if (!isUsable || micros >= before) {
            return false;
        }
        shortestMicros.put(domain, micros);
        return true;
    }
}
