package org.galenahinge.node;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.galenahinge.catalog.WeightsOrigin;
import org.galenahinge.supply.WeightsCache;
import org.galenahinge.supply.WeightsSource;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/** The weights sources of an entry: the origin or other entries, as {@link ChunkSourceSelector} selects them. */
final class EntryWeightsSources implements WeightsCache.Sources {
    private final EntryRoster roster;
    private final BooleanSupplier settled;
    private final NetworkThreads threads;
    private final Supplier<Optional<WeightsOrigin>> origin;
    private final Function<WireAddress, WeightsSource> originClient;
    private final Function<String, OptionalInt> chunks;
    private final ChunkSourceSelector selector;

    EntryWeightsSources(
            NodeSettings settings,
            EntryRoster roster,
            BooleanSupplier settled,
            NetworkThreads threads,
            Supplier<Optional<WeightsOrigin>> origin,
            Function<WireAddress, WeightsSource> originClient,
            Function<String, OptionalInt> chunks,
            long seed) {
        this.roster = Objects.requireNonNull(roster, "roster");
        this.settled = Objects.requireNonNull(settled, "settled");
        this.threads = Objects.requireNonNull(threads, "threads");
        this.origin = Objects.requireNonNull(origin, "origin");
        this.originClient = Objects.requireNonNull(originClient, "originClient");
        this.chunks = Objects.requireNonNull(chunks, "chunks");
        this.selector = new ChunkSourceSelector(settings.name(), settings.zone(), settings::regionOf, seed);
    }

    /**
     * Returns the origin until the membership is settled, then the same source as for chunks. Manifests are small, and
     * engines wait for them after a restart.
     */
    @Override
    public Optional<WeightsSource> manifestSource(String model, int failures) {
        return settled.getAsBoolean() ? chunkSource(model, failures) : origin();
    }

    @Override
    public Optional<WeightsSource> chunkSource(String model, int failures) {
        if (!settled.getAsBoolean()) {
            return Optional.empty();
        }
        String originZone = origin.get().map(WeightsOrigin::failureDomain).orElse("");
        ChunkSourceSelector.Source source = selector.select(roster.up(), originZone, model, failures);
        if (source instanceof ChunkSourceSelector.Source.Node node) {
            return Optional.of(new EntryWeightsClient(threads, node.entry().nodes()));
        }
        return source instanceof ChunkSourceSelector.Source.Origin ? origin() : Optional.empty();
    }

    @Override
    public OptionalInt chunks(String model) {
        return chunks.apply(model);
    }

    private Optional<WeightsSource> origin() {
        return origin.get().map(known -> originClient.apply(WireAddress.parse(known.address())));
    }
}
