package org.galenahinge.upstream;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * How long ago versions of weights were named, as nodes tell each other. A node that has just started, stood still or was cut
 * off hears late of a version, so the longest of the times that it is told counts. Not thread-safe.
 */
public final class VersionAges {
    /** The maximum number of versions; beyond it, the one that was named first is dropped. */
    public static final int MAXIMUM_VERSIONS = 256;

    /** Longer ages make no difference to anybody. */
    private static final Duration MAXIMUM_AGE = Duration.ofDays(1);

    private final Map<WeightsVersion, Long> namedNanos = new HashMap<>();

    /**
     * A version and its age.
     *
     * @param weights the model and its version
     * @param age the time since it was named
     */
    public record AgedVersion(WeightsVersion weights, Duration age) {
        /** Rejects null components and a negative age. */
        public AgedVersion {
            Objects.requireNonNull(weights, "weights");
            Objects.requireNonNull(age, "age");
            if (age.isNegative()) {
                throw new IllegalArgumentException("age must not be negative: " + age);
            }
        }
    }

    /**
     * Adds an age that this node has observed or been told. A shorter one than the known one is ignored.
     *
     * @param version the version and its age now
     * @param nowNanos the time, in nanoseconds
     */
    public void add(AgedVersion version, long nowNanos) {
        Duration age = version.age().compareTo(MAXIMUM_AGE) < 0 ? version.age() : MAXIMUM_AGE;
        long told = nowNanos - age.toNanos();
        namedNanos.merge(version.weights(), told, (known, other) -> other - known < 0 ? other : known);
        if (namedNanos.size() > MAXIMUM_VERSIONS) {
            namedNanos.entrySet().stream()
                    .max(Comparator.comparingLong(named -> nowNanos - named.getValue()))
                    .map(Map.Entry::getKey)
                    .ifPresent(namedNanos::remove);
        }
    }

    /**
     * Returns the age of a version.
     *
     * @param weights the model and its version
     * @param nowNanos the time, in nanoseconds
     * @return the time since it was named, or empty if nobody has told
     */
    public Optional<Duration> age(WeightsVersion weights, long nowNanos) {
        return Optional.ofNullable(namedNanos.get(weights)).map(named -> since(named, nowNanos));
    }

    /**
     * Returns the versions that were named lately.
     *
     * @param maximumAge how long ago at most
     * @param nowNanos the time, in nanoseconds
     * @return the versions with their ages
     */
    public List<AgedVersion> namedWithin(Duration maximumAge, long nowNanos) {
        return namedNanos.entrySet().stream()
                .map(named -> new AgedVersion(named.getKey(), since(named.getValue(), nowNanos)))
                .filter(version -> version.age().compareTo(maximumAge) <= 0)
                .toList();
    }

    /**
     * Returns all versions whose age is known.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the versions with their ages
     */
    public List<AgedVersion> all(long nowNanos) {
        return namedWithin(Duration.ofNanos(Long.MAX_VALUE), nowNanos);
    }

    private static Duration since(long named, long nowNanos) {
        return Duration.ofNanos(Math.max(0, nowNanos - named));
    }
}
