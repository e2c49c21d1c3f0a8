package org.galenahinge.supply;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.upstream.NamedVersion;
import org.galenahinge.upstream.VersionAges;
import org.galenahinge.upstream.VersionAges.AgedVersion;
import org.galenahinge.upstream.WeightsVersion;

/**
 * What entries have told one engine of the versions that were named, and of when engines stop to load them. Belongs to
 * one thread.
 */
final class VersionRollout {
    private static final Duration LATE_ENGINE_RESERVE = Duration.ofMillis(1_400);

    private final Duration rolloutTime;
    private final Timers timers;
    private final VersionAges ages = new VersionAges();
    private long newestNamedVersion;
    private LoadSchedule schedule = LoadSchedule.UNKNOWN;
    private long scheduleReceivedNanos;

    private VersionRollout(Duration rolloutTime, Timers timers) {
        this.rolloutTime = rolloutTime;
        this.timers = timers;
    }

    /**
     * Creates a rollout of which no entry has told anything.
     *
     * @param rolloutTime the time after a version is named from which all new requests must use it
     * @param timers the clock
     * @return the rollout
     */
    static VersionRollout create(Duration rolloutTime, Timers timers) {
        return new VersionRollout(
                Objects.requireNonNull(rolloutTime, "versionRolloutTime"), Objects.requireNonNull(timers, "timers"));
    }

    /** Tells whether no newer version than this one has been named, and remembers it if so. */
    boolean isNewest(long named) {
        if (named < newestNamedVersion) {
            return false;
        }
        newestNamedVersion = named;
        return true;
    }

    /**
     * Takes the ages that a schedule tells, and the schedule unless its sender does not know the newest version yet.
     *
     * @return whether the schedule was taken
     */
    boolean takeSchedule(String model, LoadSchedule told) {
        addAges(model, told);
        if (told.newest() < newestNamedVersion) {
            return false;
        }
        scheduleReceivedNanos = timers.nanoTime();
        schedule = told.withAges(model, ages, scheduleReceivedNanos);
        return true;
    }

    private void addAges(String model, LoadSchedule told) {
        long now = timers.nanoTime();
        told.versions().stream()
                .filter(NamedVersion::isAgeKnown)
                .map(named -> new AgedVersion(new WeightsVersion(model, named.version()), named.maximumAge()))
                .forEach(version -> ages.add(version, now));
    }

    /** Returns the time until an engine with these weights stops to load, zero if that is due. */
    Duration untilLoad(WeightsVersion loaded) {
        Duration sinceReceived = Duration.ofNanos(timers.nanoTime() - scheduleReceivedNanos);
        return schedule.untilLoad(loaded.version(), sinceReceived, rolloutTime, LATE_ENGINE_RESERVE);
    }

    /** Returns the versions named so lately that engines may still serve an older one. */
    List<AgedVersion> versionsInRollout() {
        return ages.namedWithin(rolloutTime, timers.nanoTime());
    }

    /** Returns the longest age of a version that any entry has told, or empty if none has. */
    Optional<Duration> age(WeightsVersion version) {
        return ages.age(version, timers.nanoTime());
    }
}
