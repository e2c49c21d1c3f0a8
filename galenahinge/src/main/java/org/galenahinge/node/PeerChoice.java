package org.galenahinge.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.galenahinge.wire.WireAddress;

/** Chooses the entry that a node asks: one that is up, or a seed while none is known. */
final class PeerChoice {
    private PeerChoice() {}

    /** An entry to ask, and whether it may lie behind a thin link. */
    record Peer(WireAddress address, boolean far) {}

    static Optional<Peer> choose(NodeSettings settings, EntryRoster roster, int failures) {
        Optional<NodeCard> known = roster.factSource(settings.name(), failures);
        if (known.isPresent()) {
            return known.map(card -> new Peer(card.nodes(), !card.zone().equals(settings.zone())));
        }
        List<WireAddress> seeds = settings.seeds().stream()
                .filter(seed -> !seed.host().equals(settings.address()))
                .toList();
        if (seeds.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Peer(seeds.get(ThreadLocalRandom.current().nextInt(seeds.size())), true));
    }
}
