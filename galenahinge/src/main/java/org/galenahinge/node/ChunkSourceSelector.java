package org.galenahinge.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.function.UnaryOperator;

/**
 * Selects the source from which an entry reads chunks. One entry reads from the origin, one entry of each other region
 * (the regional fetcher) reads from that entry, and the rest read from the fetcher of their region.
 *
 * <p>After failures an entry also tries other entries, but only one more entry (the backup reader) reads from the
 * origin: the origin's link is slow and it accepts few connections, so that many concurrent readers would all time out.
 */
final class ChunkSourceSelector {
    /** The entry that reads from the origin, and the backup reader. */
    private static final int ORIGIN_READERS = 2;

    /** Consecutive failures after which other entries than the assigned one are tried. */
    private static final int FAILURES_BEFORE_OTHERS = 2;

    /** Consecutive failures after which the backup reader reads from the origin, and the first reader tries others. */
    private static final int FAILURES_BEFORE_BACKUP = 5;

    private final String self;
    private final String zone;
    private final UnaryOperator<String> regionOf;
    private final Random random;

    /** A chunk source. */
    sealed interface Source {
        /** The origin. */
        record Origin() implements Source {}

        /**
         * Another entry.
         *
         * @param entry the entry
         */
        record Node(NodeAddress entry) implements Source {}

        /** No source at present: no entry is up. */
        record None() implements Source {}
    }

    /**
     * Creates a selector.
     *
     * @param self the name of this entry
     * @param zone the failure domain of this entry
     * @param regionOf maps a failure domain to its region
     * @param seed the seed of the random choices
     */
    ChunkSourceSelector(String self, String zone, UnaryOperator<String> regionOf, long seed) {
        this.self = Objects.requireNonNull(self, "self");
        this.zone = Objects.requireNonNull(zone, "zone");
        this.regionOf = Objects.requireNonNull(regionOf, "regionOf");
        this.random = new Random(seed);
    }

    /**
     * Selects the source for the next read.
     *
     * @param up the entries that are up, including this one
     * @param originZone the failure domain of the origin, or empty text when unknown
     * @param model the name of the model
     * @param failures the number of consecutive failed reads
     * @return the source
     */
    Source select(List<NodeAddress> up, String originZone, String model, int failures) {
        if (up.isEmpty()) {
            return new Source.None();
        }
        List<NodeAddress> readers = originReaders(up, originZone, model);
        boolean tryOthers = failures >= FAILURES_BEFORE_OTHERS && random.nextBoolean();
        if (isSelf(readers.get(0))) {
            return tryOthers && failures >= FAILURES_BEFORE_BACKUP ? randomOther(readers, up) : new Source.Origin();
        }
        boolean readsAsBackup = readers.size() > 1 && isSelf(readers.get(1)) && failures >= FAILURES_BEFORE_BACKUP;
        if (readsAsBackup) {
            return new Source.Origin();
        }
        if (tryOthers) {
            return randomOther(readers, up);
        }
        Optional<NodeAddress> fetcher = regionalFetcher(up, model, readers.get(0));
        return new Source.Node(fetcher.filter(entry -> !isSelf(entry)).orElse(readers.get(0)));
    }

    /** Prefers entries in the failure domain of the origin, so that chunks cross to each other region only once. */
    private static List<NodeAddress> originReaders(List<NodeAddress> up, String originZone, String model) {
        List<NodeAddress> inOriginZone =
                up.stream().filter(entry -> entry.zone().equals(originZone)).toList();
        List<NodeAddress> candidates = new ArrayList<>(inOriginZone.isEmpty() ? up : inOriginZone);
        List<NodeAddress> readers = new ArrayList<>();
        while (readers.size() < ORIGIN_READERS && !candidates.isEmpty()) {
            NodeAddress next =
                    EntryRoster.assignee(candidates, "origin " + model).orElseThrow();
            readers.add(next);
            candidates.remove(next);
        }
        return readers;
    }

    private Optional<NodeAddress> regionalFetcher(List<NodeAddress> up, String model, NodeAddress reader) {
        String region = regionOf.apply(zone);
        if (regionOf.apply(reader.zone()).equals(region)) {
            return Optional.of(reader);
        }
        List<NodeAddress> inRegion = up.stream()
                .filter(entry -> regionOf.apply(entry.zone()).equals(region))
                .toList();
        return EntryRoster.assignee(inRegion, "import " + model);
    }

    /** Selects a random other entry: half of the time one of the origin readers, otherwise any entry. */
    private Source randomOther(List<NodeAddress> readers, List<NodeAddress> up) {
        List<NodeAddress> choices = new ArrayList<>(random.nextBoolean() ? readers : up);
        choices.removeIf(this::isSelf);
        return choices.isEmpty() ? new Source.Origin() : new Source.Node(choices.get(random.nextInt(choices.size())));
    }

    private boolean isSelf(NodeAddress entry) {
        return entry.name().equals(self);
    }
}
