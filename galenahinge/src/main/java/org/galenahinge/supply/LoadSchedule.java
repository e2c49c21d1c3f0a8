package org.galenahinge.supply;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.galenahinge.upstream.NamedVersion;
import org.galenahinge.upstream.VersionAges;

/**
 * Schedules when an engine that is serving requests stops to load a new version. The loads of a service's engines are
 * spread evenly over the remaining time, so that as few engines as possible load at once and all finish in time.
 *
 * @param versions the versions that were named lately, oldest first
 * @param position the engine's position among the engines of its service, from 0 (loads first) to 1 (loads last)
 */
public record LoadSchedule(List<NamedVersion> versions, double position) {
    /** The schedule before an entry has sent one. */
    public static final LoadSchedule UNKNOWN = new LoadSchedule(List.of(), 0);

    /** Copies the versions; rejects a position outside 0 to 1. */
    public LoadSchedule {
        versions = List.copyOf(Objects.requireNonNull(versions, "versions"));
        if (!(position >= 0 && position <= 1)) {
            throw new IllegalArgumentException("position must be from 0 to 1: " + position);
        }
    }

    /**
     * Returns the same schedule with known ages of its versions, and with the older versions whose ages are known: the sender
     * of the schedule may not have read them before they were replaced.
     *
     * @param model the model to which the versions belong
     * @param ages the known ages
     * @param nowNanos the time, in nanoseconds
     * @return the schedule
     */
    LoadSchedule withAges(String model, VersionAges ages, long nowNanos) {
        SortedMap<Long, NamedVersion> byVersion = new TreeMap<>();
        versions.forEach(named -> byVersion.put(named.version(), named));
        ages.all(nowNanos).stream()
                .filter(known -> known.weights().model().equals(model))
                .filter(known -> known.weights().version() <= newest())
                .map(known -> NamedVersion.aged(known.weights().version(), known.age()))
                .forEach(known -> byVersion.put(known.version(), known));
        return new LoadSchedule(List.copyOf(byVersion.values()), position);
    }

    /**
     * Returns the newest named version.
     *
     * @return the version number, 0 for none
     */
    public long newest() {
        return versions.stream().mapToLong(NamedVersion::version).max().orElse(0);
    }

    /**
     * Returns how long an engine with all chunks staged continues to serve before it loads. The time counts from the
     * naming of the first version newer than the loaded one.
     *
     * @param loadedVersion the version that the engine has loaded
     * @param sinceReceived the time since this schedule was received
     * @param rolloutTime the time after a version is named from which all new requests must use it
     * @param reserve the part of that time reserved for engines that are late
     * @return the time until the load, zero for at once
     */
    public Duration untilLoad(long loadedVersion, Duration sinceReceived, Duration rolloutTime, Duration reserve) {
        Duration remaining = versions.stream()
                .filter(named -> named.version() > loadedVersion)
                .map(named ->
                        rolloutTime.minus(reserve).minus(named.maximumAge()).minus(sinceReceived))
                .min(Duration::compareTo)
                .orElse(Duration.ZERO);
        if (remaining.isNegative()) {
            return Duration.ZERO;
        }
        return Duration.ofMillis((long) (remaining.toMillis() * position));
    }
}
