package org.galenahinge.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.galenahinge.wire.WireAddress;

/** Selects the entry from which a node reads facts: one that is up, or a random seed while none is known. */
final class PeerSelector {
    private PeerSelector() {}

    /**
     * A selected entry.
     *
     * @param address its address for other nodes
     * @param remote whether it is, or may be, in another failure domain, where the link may have little bandwidth
     */
    record Peer(WireAddress address, boolean remote) {}

    static Optional<Peer> select(NodeSettings settings, EntryRoster roster, int failures) {
        Optional<NodeAddress> known = roster.factSource(settings.name(), failures);
        if (known.isPresent()) {
            return known.map(entry -> new Peer(entry.nodes(), !entry.zone().equals(settings.zone())));
        }
        List<WireAddress> seeds = settings.seeds().stream()
                .filter(seed -> !settings.peerAddress().equals(Optional.of(seed)))
                .toList();
        if (seeds.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Peer(seeds.get(ThreadLocalRandom.current().nextInt(seeds.size())), true));
    }
}
