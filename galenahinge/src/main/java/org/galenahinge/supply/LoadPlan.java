package org.galenahinge.supply;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Says when an engine that works is to stop for loading. The engines of a service take their turns evenly over the time
 * that is left, so that as few as possible stand still at once and all are done in time.
 *
 * @param versions the versions named lately, oldest first
 * @param place the engine's place among those of its service, from 0 to 1
 */
public record LoadPlan(List<NamedVersion> versions, double place) {
    /** What is known before an entry has said anything. */
    public static final LoadPlan UNKNOWN = new LoadPlan(List.of(), 0);

    /** Checks and copies the parts. */
    public LoadPlan {
        versions = List.copyOf(Objects.requireNonNull(versions, "versions"));
        if (!(place >= 0 && place <= 1)) {
            throw new IllegalArgumentException("place must be from 0 to 1: " + place);
        }
    }

    /**
     * A version with the time since it was named.
     *
     * @param version its number
     * @param age how long ago it was named
     */
    public record NamedVersion(long version, Duration age) {
        /** Checks the parts. */
        public NamedVersion {
            Objects.requireNonNull(age, "age");
        }
    }

    /**
     * Returns the newest version named.
     *
     * @return its number, 0 for none
     */
    public long newest() {
        return versions.stream().mapToLong(NamedVersion::version).max().orElse(0);
    }

    /**
     * Returns how long an engine whose chunks are ready now is to go on working.
     *
     * @param heldVersion the version that it works with
     * @param sinceHeard how long ago this plan was heard
     * @param within from the naming of a version until all requests must begin on it
     * @param reserve what of that time is kept for engines that are late
     * @return the time until its turn, zero for at once
     */
    public Duration untilTurn(long heldVersion, Duration sinceHeard, Duration within, Duration reserve) {
        Duration left = versions.stream()
                .filter(named -> named.version() > heldVersion)
                .map(named -> within.minus(reserve).minus(named.age()).minus(sinceHeard))
                .min(Duration::compareTo)
                .orElse(Duration.ZERO);
        if (left.isNegative()) {
            return Duration.ZERO;
        }
        return Duration.ofMillis((long) (left.toMillis() * place));
    }
}
