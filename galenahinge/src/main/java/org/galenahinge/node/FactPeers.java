package org.galenahinge.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.facts.FactSource;
import org.galenahinge.facts.FactSynchronizer;
import org.galenahinge.wire.WireAddress;

/** The roles of the entries that share facts, as one of them sees them. Not thread-safe. */
final class FactPeers implements FactSynchronizer.Peers {
    /** How long an entry that has not responded is read only if all others have not either; membership knows by then. */
    private static final Duration AVOIDED_FOR = Duration.ofSeconds(3);

    private final NodeAddress self;
    private final Supplier<NodeSettings> settings;
    private final EntryRoster roster;
    private final StoreDistances distances;
    private final BooleanSupplier ready;
    private final Function<WireAddress, FactSource> sources;
    private final Timers timers;
    private final Map<String, Long> silentUntilNanos = new HashMap<>();

    /**
     * @param self this entry
     * @param settings the settings of this entry
     * @param roster the entries that are up
     * @param distances how far failure domains are from the store
     * @param ready tells whether this entry takes callers, and duties with them
     * @param sources reads facts from the entry at an address, by which it is named
     * @param timers the clock
     */
    FactPeers(
            NodeAddress self,
            Supplier<NodeSettings> settings,
            EntryRoster roster,
            StoreDistances distances,
            BooleanSupplier ready,
            Function<WireAddress, FactSource> sources,
            Timers timers) {
        this.self = Objects.requireNonNull(self, "self");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.roster = Objects.requireNonNull(roster, "roster");
        this.distances = Objects.requireNonNull(distances, "distances");
        this.ready = Objects.requireNonNull(ready, "ready");
        this.sources = Objects.requireNonNull(sources, "sources");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    @Override
    public boolean isWatcher() {
        return ready.getAsBoolean()
                && roster.watcher().filter(entry -> entry.equals(self)).isPresent();
    }

    @Override
    public int storeTurn() {
        return ready.getAsBoolean() ? roster.storeTurn(self.name()) : 1;
    }

    @Override
    public void storeConnected(Duration taken) {
        distances.measured(self.zone(), taken);
    }

    /** The relay measures for its failure domain, none of whose entries may have read the store since it started. */
    @Override
    public boolean mustMeasureStore() {
        return ready.getAsBoolean()
                && distances.find(self.zone()).isEmpty()
                && roster.relayOf(self.zone()).equals(Optional.of(self));
    }

    @Override
    public Optional<FactSource> peer(int failures) {
        long now = timers.nanoTime();
        silentUntilNanos.values().removeIf(until -> now - until >= 0);
        return PeerSelector.select(settings.get(), roster, failures, this::isUsable)
                .map(sources);
    }

    @Override
    public void peerSilent(FactSource source) {
        silentUntilNanos.put(source.name(), timers.nanoTime() + AVOIDED_FOR.toNanos());
    }

    private boolean isUsable(WireAddress address) {
        return !silentUntilNanos.containsKey(address.toString());
    }
}
