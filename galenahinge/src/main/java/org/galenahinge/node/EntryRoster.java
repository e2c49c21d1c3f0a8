package org.galenahinge.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.galenahinge.limit.NamedLimits.Position;
import org.galenahinge.routing.Rendezvous;

/**
 * The entries that this node considers up, and the duties assigned to them. Not thread-safe.
 *
 * <p>Duties are assigned by rendezvous hashing over the entries that are up, so that all nodes with the same view
 * choose the same entry without coordination. They are assigned anew when the entries change.
 */
final class EntryRoster {
    private static final String WATCH_DUTY = "watch";
    private static final String RELAY_DUTY = "relay";

    private final String zone;
    private final Random random;
    private List<NodeAddress> up = List.of();
    private Map<NodeAddress, Integer> positions = Map.of();
    private Map<String, List<NodeAddress>> byZone = Map.of();
    private Optional<NodeAddress> watcher = Optional.empty();
    private Optional<NodeAddress> ownRelay = Optional.empty();
    private List<NodeAddress> ownRelays = List.of();

    EntryRoster(String zone, long seed) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.random = new Random(seed);
    }

    /** Replaces the entries that are up, including this node where it is an entry. */
    void update(Collection<NodeAddress> entries) {
        List<NodeAddress> sorted = new ArrayList<>(entries);
        sorted.sort(Comparator.comparing(NodeAddress::text));
        if (sorted.equals(up)) {
            return;
        }
        up = List.copyOf(sorted);
        positions = IntStream.range(0, up.size())
                .boxed()
                .collect(Collectors.toUnmodifiableMap(up::get, index -> index, (first, second) -> first));
        byZone = Map.copyOf(up.stream().collect(Collectors.groupingBy(NodeAddress::zone)));
        watcher = assignee(up, WATCH_DUTY);
        ownRelays = ranked(inZone(zone), RELAY_DUTY);
        ownRelay = ownRelays.stream().findFirst();
    }

    List<NodeAddress> up() {
        return up;
    }

    List<NodeAddress> inZone(String failureDomain) {
        return byZone.getOrDefault(failureDomain, List.of());
    }

    /** Returns the position of an entry among those that are up; an entry that is not up comes after them. */
    Position positionOf(NodeAddress entry) {
        Integer index = positions.get(entry);
        return index == null ? new Position(up.size(), up.size() + 1) : new Position(index, up.size());
    }

    /** Returns the entry that reads the store for all. */
    Optional<NodeAddress> watcher() {
        return watcher;
    }

    /** Returns the entry that the others of a failure domain read facts from. */
    Optional<NodeAddress> relayOf(String failureDomain) {
        return assignee(inZone(failureDomain), RELAY_DUTY);
    }

    /**
     * Returns when it is the turn of an entry of this failure domain to read the store, if the others do not.
     *
     * @param name the name of the entry
     * @return 0 for the watcher and the relay, from which the others read facts; 1 for the entry that stands in for the relay,
     *     and so on
     */
    int storeTurn(String name) {
        boolean isSource = Stream.of(watcher, ownRelay)
                .flatMap(Optional::stream)
                .anyMatch(entry -> entry.name().equals(name));
        if (isSource) {
            return 0;
        }
        long before = ownRelays.stream()
                .takeWhile(entry -> !entry.name().equals(name))
                .count();
        return (int) Math.max(1, before);
    }

    /**
     * Returns the entry to read facts from: the relay of this failure domain, or the watcher where this node is that
     * relay or none exists. After one failure the entry that stands in for the relay, after two the watcher. After more, or
     * where that is this node itself, a random other entry.
     *
     * @param self the name of this node
     * @param failures the number of consecutive failed reads
     * @return the entry, or empty when no other entry is up
     */
    Optional<NodeAddress> factSource(String self, int failures) {
        boolean readsFromWatcher = ownRelay.isEmpty() || ownRelay.get().name().equals(self);
        Optional<NodeAddress> source = switch (failures) {
            case 0 -> readsFromWatcher ? watcher : ownRelay;
            case 1 -> ownRelays.stream().skip(1).findFirst();
            case 2 -> watcher;
            default -> Optional.empty();
        };
        source = source.filter(entry -> !entry.name().equals(self));
        if (source.isPresent()) {
            return source;
        }
        List<NodeAddress> others = new ArrayList<>(up);
        others.removeIf(entry -> entry.name().equals(self));
        return others.isEmpty() ? Optional.empty() : Optional.of(others.get(random.nextInt(others.size())));
    }

    /** Returns the entry that a duty is assigned to. */
    Optional<NodeAddress> assigneeOf(String duty) {
        return assignee(up, duty);
    }

    private static List<NodeAddress> ranked(Collection<NodeAddress> entries, String duty) {
        long key = Rendezvous.key(duty);
        return entries.stream()
                .sorted(Comparator.comparingLong(entry -> Rendezvous.hash(entry.name(), key)))
                .toList();
    }

    /** Returns the entry among the given ones that rendezvous hashing assigns a duty to. */
    static Optional<NodeAddress> assignee(Collection<NodeAddress> entries, String duty) {
        long key = Rendezvous.key(duty);
        return entries.stream().min(Comparator.comparingLong(entry -> Rendezvous.hash(entry.name(), key)));
    }

    /** Returns the entries in random order, those of this failure domain first. */
    List<NodeAddress> nearestFirst() {
        List<NodeAddress> shuffled = new ArrayList<>(up);
        Collections.shuffle(shuffled, random);
        shuffled.sort(Comparator.comparing(entry -> !entry.zone().equals(zone)));
        return shuffled;
    }
}
