package org.galenahinge.upstream;

import java.time.Duration;
import java.util.Objects;

/**
 * A version of a model that upstreams are to load, and how long ago it was named.
 *
 * @param version the version number
 * @param maximumAge the longest time that may have passed since it was named
 * @param isAgeKnown whether that is its age; a node that heard late may know only the longest time that is possible
 */
public record NamedVersion(long version, Duration maximumAge, boolean isAgeKnown) {
    /** Rejects a version without an age, or with a negative one. */
    public NamedVersion {
        Objects.requireNonNull(maximumAge, "maximumAge");
        if (maximumAge.isNegative()) {
            throw new IllegalArgumentException("maximumAge must not be negative: " + maximumAge);
        }
    }

    /**
     * Creates a version of known age.
     *
     * @param version the version number
     * @param age the time since it was named
     * @return the version
     */
    public static NamedVersion aged(long version, Duration age) {
        return new NamedVersion(version, age, true);
    }
}
