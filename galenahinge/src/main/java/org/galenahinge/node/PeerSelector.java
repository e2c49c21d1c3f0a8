package org.galenahinge.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import org.galenahinge.wire.WireAddress;

/** Selects the entry from which a node reads facts: one that is up, or a random seed while none is known. */
final class PeerSelector {
    private PeerSelector() {}

    /**
     * Selects an entry.
     *
     * @param settings the settings of this node
     * @param roster the entries that are up
     * @param failures the number of consecutive failed reads
     * @param usable tells which addresses may be chosen, if any of them may
     * @return the address of the entry for other nodes, empty if there is none
     */
    static Optional<WireAddress> select(
            NodeSettings settings, EntryRoster roster, int failures, Predicate<WireAddress> usable) {
        Optional<NodeAddress> known = roster.factSource(settings.name(), failures, entry -> usable.test(entry.nodes()));
        if (known.isPresent()) {
            return known.map(NodeAddress::nodes);
        }
        List<WireAddress> seeds = settings.seeds().stream()
                .filter(seed -> !settings.peerAddress().equals(Optional.of(seed)))
                .toList();
        List<WireAddress> usableSeeds = seeds.stream().filter(usable).toList();
        return randomOf(usableSeeds.isEmpty() ? seeds : usableSeeds);
    }

    private static Optional<WireAddress> randomOf(List<WireAddress> addresses) {
        return addresses.isEmpty()
                ? Optional.empty()
                : Optional.of(addresses.get(ThreadLocalRandom.current().nextInt(addresses.size())));
    }
}
