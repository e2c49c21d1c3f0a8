package org.galenahinge.node;

import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.galenahinge.facts.FactSource;
import org.galenahinge.facts.FactSynchronizer;
import org.galenahinge.wire.WireAddress;

/** The roles of the entries that share facts, as one of them sees them. Not thread-safe. */
final class FactPeers implements FactSynchronizer.Peers {
    private final NodeAddress self;
    private final Supplier<NodeSettings> settings;
    private final EntryRoster roster;
    private final BooleanSupplier ready;
    private final Function<WireAddress, FactSource> sources;

    /**
     * @param self this entry
     * @param settings the settings of this entry
     * @param roster the entries that are up
     * @param ready tells whether this entry takes callers, and duties with them
     * @param sources reads facts from the entry at an address
     */
    FactPeers(
            NodeAddress self,
            Supplier<NodeSettings> settings,
            EntryRoster roster,
            BooleanSupplier ready,
            Function<WireAddress, FactSource> sources) {
        this.self = Objects.requireNonNull(self, "self");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.roster = Objects.requireNonNull(roster, "roster");
        this.ready = Objects.requireNonNull(ready, "ready");
        this.sources = Objects.requireNonNull(sources, "sources");
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
    public Optional<FactSource> peer(int failures) {
        return PeerSelector.select(settings.get(), roster, failures).map(sources);
    }
}
