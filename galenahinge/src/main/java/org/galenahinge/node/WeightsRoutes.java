package org.galenahinge.node;

import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.galenahinge.catalog.WeightsOrigin;
import org.galenahinge.supply.WeightsCache;
import org.galenahinge.supply.WeightsSource;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/** Names where an entry gets weights, as {@link ChunkRoute} decides. */
final class WeightsRoutes implements WeightsCache.Sources {
    private final EntryRoster roster;
    private final BooleanSupplier settled;
    private final NetworkThreads threads;
    private final Supplier<Optional<WeightsOrigin>> origin;
    private final Function<WireAddress, WeightsSource> originAt;
    private final ChunkRoute route;

    WeightsRoutes(
            NodeSettings settings,
            EntryRoster roster,
            BooleanSupplier settled,
            NetworkThreads threads,
            Supplier<Optional<WeightsOrigin>> origin,
            Function<WireAddress, WeightsSource> originAt,
            long seed) {
        this.roster = Objects.requireNonNull(roster, "roster");
        this.settled = Objects.requireNonNull(settled, "settled");
        this.threads = Objects.requireNonNull(threads, "threads");
        this.origin = Objects.requireNonNull(origin, "origin");
        this.originAt = Objects.requireNonNull(originAt, "originAt");
        this.route = new ChunkRoute(settings.name(), settings.zone(), settings::regionOf, seed);
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
        String originZone = origin.get().map(WeightsOrigin::failureDomain).orElse("");
        ChunkRoute.Source source = route.choose(roster.up(), originZone, model, failures);
        if (source instanceof ChunkRoute.Source.Node node) {
            return Optional.of(new EntryWeights(threads, node.card().nodes()));
        }
        return source instanceof ChunkRoute.Source.Origin ? origin() : Optional.empty();
    }

    private Optional<WeightsSource> origin() {
        return origin.get().map(known -> originAt.apply(WireAddress.parse(known.address())));
    }
}
