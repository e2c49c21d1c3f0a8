package org.galenahinge.facts;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.galenahinge.upstream.NamedVersion;
import org.galenahinge.upstream.VersionAges;
import org.galenahinge.upstream.VersionAges.AgedVersion;
import org.galenahinge.upstream.WeightsVersion;

/**
 * The versions of weights that were named, and how long ago. The store does not say when it wrote an item, so a node that
 * reads without interruption witnesses a naming, and others are told its age. Not thread-safe.
 */
final class NamedVersions {
    private static final int VERSIONS_KEPT_PER_MODEL = 8;

    /**
     * A node that was interrupted for no longer than this still tells others how long ago a version may have been named: where
     * reading was interrupted on all nodes, nobody knows better.
     */
    private static final Duration LONGEST_WITNESS_DELAY = Duration.ofMillis(1_500);

    /** The time in which other nodes tell the age of a version that this node has read. */
    private static final Duration TIME_TO_TELL_AGES = Duration.ofSeconds(1);

    private final Map<String, List<ReadVersion>> read = new HashMap<>();
    private final VersionAges ages = new VersionAges();

    /** A version, when this node read that it was named, and the longest time before that at which it may have been named. */
    private record ReadVersion(WeightsVersion weights, long readNanos, Duration maximumAgeWhenRead) {}

    /**
     * Adds a version that this node has read, unless it is not newer than the newest one of the model.
     *
     * @param weights the model and its version
     * @param maximumAge the longest time that may have passed since it was named
     * @param nowNanos the time, in nanoseconds
     * @return whether it is newer
     */
    boolean add(WeightsVersion weights, Duration maximumAge, long nowNanos) {
        Objects.requireNonNull(maximumAge, "maximumAge");
        boolean newer = newest(weights.model())
                .filter(known -> known.version() >= weights.version())
                .isEmpty();
        if (!newer) {
            return false;
        }
        List<ReadVersion> versions = new ArrayList<>(readOf(weights.model()));
        versions.add(new ReadVersion(weights, nowNanos, maximumAge));
        int first = Math.max(0, versions.size() - VERSIONS_KEPT_PER_MODEL);
        read.put(weights.model(), List.copyOf(versions.subList(first, versions.size())));
        if (maximumAge.compareTo(LONGEST_WITNESS_DELAY) <= 0) {
            ages.add(new AgedVersion(weights, maximumAge), nowNanos);
        }
        return true;
    }

    /** Returns the newest version of a model that this node has read. */
    Optional<WeightsVersion> newest(String model) {
        List<ReadVersion> versions = readOf(model);
        return versions.isEmpty()
                ? Optional.empty()
                : Optional.of(versions.get(versions.size() - 1).weights());
    }

    /**
     * Returns the latest versions of a model, those included that were replaced before this node read them and of which others
     * have told the age.
     *
     * @param model the model's name
     * @param nowNanos the time, in nanoseconds
     * @return the versions, oldest first, up to the newest that this node has read
     */
    List<NamedVersion> recent(String model, long nowNanos) {
        SortedMap<Long, NamedVersion> byVersion = new TreeMap<>();
        named(model, nowNanos).forEach(version -> byVersion.put(version.version(), version));
        return List.copyOf(byVersion.values());
    }

    /** Returns the newest version of a model that was named at least a given time ago. */
    OptionalLong newestNamedBefore(String model, Duration age, long nowNanos) {
        return named(model, nowNanos)
                .filter(version -> version.maximumAge().compareTo(age) >= 0)
                .mapToLong(NamedVersion::version)
                .max();
    }

    /**
     * Returns the newest version of a model that was named at least a given time ago, without those of unknown age that this node
     * has just read: others may tell that they are younger.
     */
    OptionalLong newestSurelyNamedBefore(String model, Duration age, long nowNanos) {
        Set<Long> justRead = readOf(model).stream()
                .filter(known -> nowNanos - known.readNanos() < TIME_TO_TELL_AGES.toNanos())
                .map(known -> known.weights().version())
                .collect(Collectors.toSet());
        return named(model, nowNanos)
                .filter(version -> version.maximumAge().compareTo(age) >= 0)
                .filter(version -> version.isAgeKnown() || !justRead.contains(version.version()))
                .mapToLong(NamedVersion::version)
                .max();
    }

    /** Returns the known ages, by what this node has witnessed and was told. */
    VersionAges ages() {
        return ages;
    }

    /** Returns the versions of which others have told the age, then those that this node has read, which take their place. */
    private Stream<NamedVersion> named(String model, long nowNanos) {
        long newest = newest(model).map(WeightsVersion::version).orElse(0L);
        Stream<NamedVersion> told = ages.all(nowNanos).stream()
                .filter(version -> version.weights().model().equals(model))
                .filter(version -> version.weights().version() <= newest)
                .map(version -> NamedVersion.aged(version.weights().version(), version.age()));
        return Stream.concat(told, readOf(model).stream().map(known -> named(known, nowNanos)));
    }

    /** A told age counts, but at least the time since this node read the version. */
    private NamedVersion named(ReadVersion known, long nowNanos) {
        long version = known.weights().version();
        Duration sinceRead = Duration.ofNanos(nowNanos - known.readNanos());
        Optional<Duration> told = ages.age(known.weights(), nowNanos);
        if (told.isEmpty()) {
            return new NamedVersion(version, known.maximumAgeWhenRead().plus(sinceRead), false);
        }
        return NamedVersion.aged(version, told.get().compareTo(sinceRead) > 0 ? told.get() : sinceRead);
    }

    private List<ReadVersion> readOf(String model) {
        return read.getOrDefault(model, List.of());
    }
}
