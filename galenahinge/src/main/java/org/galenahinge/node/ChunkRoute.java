package org.galenahinge.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.function.UnaryOperator;

/**
 * Decides where an entry gets chunks: one entry of all reads the origin, one of each region reads from that one, and the
 * rest read from the one of their region.
 *
 * <p>After failures others are tried, but only one more entry goes to the origin: its link is thin and it accepts few
 * connections, so that many readers at once would all run into their timeouts.
 */
final class ChunkRoute {
    private static final int READERS = 2;
    private static final int FAILURES_BEFORE_OTHERS = 2;
    private static final int FAILURES_BEFORE_ORIGIN = 5;

    private final String self;
    private final String zone;
    private final UnaryOperator<String> regionOf;
    private final Random random;

    /** Where chunks come from. */
    sealed interface Source {
        /** The origin. */
        record Origin() implements Source {}

        /**
         * Another entry.
         *
         * @param card the entry
         */
        record Node(NodeCard card) implements Source {}

        /** Nowhere, for now. */
        record None() implements Source {}
    }

    /**
     * Creates the routes of an entry.
     *
     * @param self its name
     * @param zone its failure domain
     * @param regionOf names the region of a failure domain
     * @param seed the seed of what is random
     */
    ChunkRoute(String self, String zone, UnaryOperator<String> regionOf, long seed) {
        this.self = Objects.requireNonNull(self, "self");
        this.zone = Objects.requireNonNull(zone, "zone");
        this.regionOf = Objects.requireNonNull(regionOf, "regionOf");
        this.random = new Random(seed);
    }

    /**
     * Chooses.
     *
     * @param up the entries that are up, the own one included
     * @param originZone the failure domain of the origin, empty where unknown
     * @param model the model
     * @param failures how many reads in a row have failed
     * @return the source
     */
    Source choose(List<NodeCard> up, String originZone, String model, int failures) {
        if (up.isEmpty()) {
            return new Source.None();
        }
        List<NodeCard> readers = readers(up, originZone, model);
        boolean tryOthers = failures >= FAILURES_BEFORE_OTHERS && random.nextBoolean();
        if (isSelf(readers.get(0))) {
            return tryOthers && failures >= FAILURES_BEFORE_ORIGIN ? other(readers, up) : new Source.Origin();
        }
        boolean standsIn = readers.size() > 1 && isSelf(readers.get(1)) && failures >= FAILURES_BEFORE_ORIGIN;
        if (standsIn) {
            return new Source.Origin();
        }
        if (tryOthers) {
            return other(readers, up);
        }
        Optional<NodeCard> importer = importer(up, model, readers.get(0));
        return new Source.Node(importer.filter(card -> !isSelf(card)).orElse(readers.get(0)));
    }

    /** Entries beside the origin, so that chunks cross to each other region only once. */
    private static List<NodeCard> readers(List<NodeCard> up, String originZone, String model) {
        List<NodeCard> beside =
                up.stream().filter(card -> card.zone().equals(originZone)).toList();
        List<NodeCard> candidates = new ArrayList<>(beside.isEmpty() ? up : beside);
        List<NodeCard> readers = new ArrayList<>();
        while (readers.size() < READERS && !candidates.isEmpty()) {
            NodeCard next = EntryRoster.first(candidates, "origin " + model).orElseThrow();
            readers.add(next);
            candidates.remove(next);
        }
        return readers;
    }

    private Optional<NodeCard> importer(List<NodeCard> up, String model, NodeCard reader) {
        String region = regionOf.apply(zone);
        if (regionOf.apply(reader.zone()).equals(region)) {
            return Optional.of(reader);
        }
        List<NodeCard> near = up.stream()
                .filter(card -> regionOf.apply(card.zone()).equals(region))
                .toList();
        return EntryRoster.first(near, "import " + model);
    }

    /** The other reader as often as all the rest together. */
    private Source other(List<NodeCard> readers, List<NodeCard> up) {
        List<NodeCard> choices = new ArrayList<>(random.nextBoolean() ? readers : up);
        choices.removeIf(this::isSelf);
        return choices.isEmpty() ? new Source.Origin() : new Source.Node(choices.get(random.nextInt(choices.size())));
    }

    private boolean isSelf(NodeCard card) {
        return card.name().equals(self);
    }
}
