package org.galenahinge.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.galenahinge.catalog.WeightsOrigin;
import org.galenahinge.supply.WeightsLibrary;
import org.galenahinge.supply.WeightsSource;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/**
 * Names where an entry gets weights: one entry of all reads the origin, one of each region reads from that one, and the
 * rest read from the one of their region. After failures any other entry, and then the origin itself, is named.
 */
final class WeightsRoutes implements WeightsLibrary.Sources {
    private static final int FAILURES_BEFORE_OTHERS = 2;
    private static final int FAILURES_BEFORE_ORIGIN = 5;

    private final NodeSettings settings;
    private final EntryRoster roster;
    private final BooleanSupplier settled;
    private final NetworkThreads threads;
    private final Supplier<Optional<WeightsOrigin>> origin;
    private final Function<WireAddress, WeightsSource> originAt;
    private final Random random;

    WeightsRoutes(
            NodeSettings settings,
            EntryRoster roster,
            BooleanSupplier settled,
            NetworkThreads threads,
            Supplier<Optional<WeightsOrigin>> origin,
            Function<WireAddress, WeightsSource> originAt,
            long seed) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.roster = Objects.requireNonNull(roster, "roster");
        this.settled = Objects.requireNonNull(settled, "settled");
        this.threads = Objects.requireNonNull(threads, "threads");
        this.origin = Objects.requireNonNull(origin, "origin");
        this.originAt = Objects.requireNonNull(originAt, "originAt");
        this.random = new Random(seed);
    }

    /** A manifest is small, and engines wait for it after a restart: it is read from the origin while nobody is known. */
    @Override
    public Optional<WeightsSource> manifestSource(String model, int failures) {
        return settled.getAsBoolean() ? chunkSource(model, failures) : origin();
    }

    @Override
    public Optional<WeightsSource> chunkSource(String model, int failures) {
        if (!settled.getAsBoolean()) {
            return Optional.empty();
        }
        if (failures >= FAILURES_BEFORE_ORIGIN) {
            return random.nextBoolean() ? origin() : anyOther();
        }
        if (failures >= FAILURES_BEFORE_OTHERS) {
            return anyOther();
        }
        Optional<NodeCard> reader = reader(model);
        if (reader.isEmpty()) {
            return Optional.empty();
        }
        if (isSelf(reader.get())) {
            return origin();
        }
        Optional<NodeCard> importer = importer(model, reader.get());
        return importer.isEmpty() || isSelf(importer.get()) ? entry(reader.get()) : entry(importer.get());
    }

    /** The entry that reads from the origin for all: one beside it, so that chunks cross to each other region only once. */
    private Optional<NodeCard> reader(String model) {
        List<NodeCard> beside = origin.get()
                .map(known -> roster.inZone(known.zone()))
                .filter(near -> !near.isEmpty())
                .orElse(roster.up());
        return EntryRoster.first(beside, "origin " + model);
    }

    private Optional<NodeCard> importer(String model, NodeCard reader) {
        String region = settings.regionOf(settings.zone());
        if (settings.regionOf(reader.zone()).equals(region)) {
            return Optional.of(reader);
        }
        List<NodeCard> near = roster.up().stream()
                .filter(card -> settings.regionOf(card.zone()).equals(region))
                .toList();
        return EntryRoster.first(near, "import " + model);
    }

    private Optional<WeightsSource> anyOther() {
        List<NodeCard> others = new ArrayList<>(roster.up());
        others.removeIf(this::isSelf);
        return others.isEmpty() ? origin() : entry(others.get(random.nextInt(others.size())));
    }

    private Optional<WeightsSource> entry(NodeCard card) {
        return Optional.of(new EntryWeights(threads, card.nodes()));
    }

    private Optional<WeightsSource> origin() {
        return origin.get().map(known -> originAt.apply(WireAddress.parse(known.address())));
    }

    private boolean isSelf(NodeCard card) {
        return card.name().equals(settings.name());
    }
}
