package org.galenahinge.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.galenahinge.routing.Rendezvous;

/**
 * The entries that this node takes to be up, and which of them does what. Belongs to one thread.
 *
 * <p>Duties are named by rendezvous hashing over those that are up, so that all nodes name the same one without asking.
 */
final class EntryRoster {
    private static final String WATCH_DUTY = "watch";
    private static final String RELAY_DUTY = "relay";

    private final String zone;
    private final Random random;
    private List<NodeCard> up = List.of();

    EntryRoster(String zone, long seed) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.random = new Random(seed);
    }

    /** Takes in who is up, the own node included where it is an entry. */
    void update(Collection<NodeCard> cards) {
        List<NodeCard> sorted = new ArrayList<>(cards);
        sorted.sort(Comparator.comparing(NodeCard::text));
        up = List.copyOf(sorted);
    }

    List<NodeCard> up() {
        return up;
    }

    List<NodeCard> inZone(String failureDomain) {
        return up.stream().filter(card -> card.zone().equals(failureDomain)).toList();
    }

    /** The entry that reads the store for all. */
    Optional<NodeCard> watcher() {
        return first(up, WATCH_DUTY);
    }

    /** The entry that the others of a failure domain read facts from. */
    Optional<NodeCard> relayOf(String failureDomain) {
        return first(inZone(failureDomain), RELAY_DUTY);
    }

    /** Whether others read facts from an entry. */
    boolean isSource(String name) {
        return Stream.of(watcher(), relayOf(zone))
                .flatMap(Optional::stream)
                .anyMatch(card -> card.name().equals(name));
    }

    /** The entry to read facts from: the relay of the own failure domain, or the watcher for the relay; then any. */
    Optional<NodeCard> factSource(String self, int failures) {
        Optional<NodeCard> relay = relayOf(zone);
        boolean ownDuty = relay.isEmpty() || relay.get().name().equals(self);
        Optional<NodeCard> source =
                (ownDuty ? watcher() : relay).filter(card -> !card.name().equals(self));
        if (failures == 0 && source.isPresent()) {
            return source;
        }
        List<NodeCard> others = new ArrayList<>(up);
        others.removeIf(card -> card.name().equals(self));
        return others.isEmpty() ? Optional.empty() : Optional.of(others.get(random.nextInt(others.size())));
    }

    /** The first of some entries for a duty. */
    static Optional<NodeCard> first(Collection<NodeCard> cards, String duty) {
        long key = Rendezvous.key(duty);
        return cards.stream().min(Comparator.comparingLong(card -> Rendezvous.hash(card.name(), key)));
    }

    /** Entries in random order, those of the own failure domain first. */
    List<NodeCard> nearestFirst() {
        List<NodeCard> shuffled = new ArrayList<>(up);
        Collections.shuffle(shuffled, random);
        shuffled.sort(Comparator.comparing(card -> !card.zone().equals(zone)));
        return shuffled;
    }
}
