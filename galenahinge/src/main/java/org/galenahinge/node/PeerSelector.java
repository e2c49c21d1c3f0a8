package org.galenahinge.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.galenahinge.wire.WireAddress;

/** Selects the entry from which a node reads facts: one that is up, or a random seed while none is known. */
final class PeerSelector {
    private PeerSelector() {}

    /** Returns the address of the entry for other nodes, empty if there is none. */
    static Optional<WireAddress> select(NodeSettings settings, EntryRoster roster, int failures) {
        Optional<NodeAddress> known = roster.factSource(settings.name(), failures);
        if (known.isPresent()) {
            return known.map(NodeAddress::nodes);
        }
        List<WireAddress> seeds = settings.seeds().stream()
                .filter(seed -> !settings.peerAddress().equals(Optional.of(seed)))
                .toList();
        if (seeds.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(seeds.get(ThreadLocalRandom.current().nextInt(seeds.size())));
    }
}
