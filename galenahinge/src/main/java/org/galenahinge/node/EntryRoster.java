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
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
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

    /** How many turns at the store pass before those of the failure domains that are far from it. */
    private static final int TURNS_OF_NEAR_DOMAINS = 2;

    /** The relay or the watcher, and the entry that stands in for it. */
    private static final int RANKED_FACT_SOURCES = 2;

    /** While reads fail, one in so many asks any entry: those of the same failure domain are near, and know what is on its way. */
    private static final int READS_PER_OTHER = 5;

    private final String zone;
    private final StoreDistances distances;
    private final Random random;
    private List<NodeAddress> up = List.of();
    private Map<NodeAddress, Integer> positions = Map.of();
    private Map<String, List<NodeAddress>> byZone = Map.of();
    private List<NodeAddress> watchers = List.of();
    private List<NodeAddress> ownRelays = List.of();
    private boolean nearStore;

    EntryRoster(String zone, long seed) {
        this(zone, new StoreDistances(), seed);
    }

    /**
     * @param zone the failure domain of this node
     * @param distances how far failure domains are from the store, which the watcher should be near
     * @param seed the seed of random choices
     */
    EntryRoster(String zone, StoreDistances distances, long seed) {
        this.distances = Objects.requireNonNull(distances, "distances");
        this.zone = Objects.requireNonNull(zone, "zone");
        this.random = new Random(seed);
        distances.onChange(this::assignWatchers);
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
        ownRelays = ranked(inZone(zone), RELAY_DUTY);
        assignWatchers();
    }

    private void assignWatchers() {
        Set<String> near = distances.near(byZone.keySet());
        nearStore = near.contains(zone);
        watchers =
                ranked(up.stream().filter(entry -> near.contains(entry.zone())).toList(), WATCH_DUTY);
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
        return at(watchers, 0);
    }

    /** Returns the entry that the others of a failure domain read facts from. */
    Optional<NodeAddress> relayOf(String failureDomain) {
        return assignee(inZone(failureDomain), RELAY_DUTY);
    }

    /**
     * Returns when it is the turn of an entry of this failure domain to read the store, if the others do not.
     *
     * @param name the name of the entry
     * @return 0 for the watcher and for a relay near the store, from which others read facts; 1 for the entry that stands in for
     *     that relay, and so on; later for entries that are far from the store
     */
    int storeTurn(String name) {
        if (isNamed(watcher(), name)) {
            return 0;
        }
        int before = (int) ownRelays.stream()
                .takeWhile(entry -> !entry.name().equals(name))
                .count();
        return nearStore ? before : before + TURNS_OF_NEAR_DOMAINS;
    }

    /**
     * Returns the entry to read facts from: the relay of this failure domain, or the watcher where this node is that
     * relay or none exists. After a failure the entry that stands in for it, and so on by turns; after each four failures, or
     * where that is this node itself, a random other entry.
     *
     * @param self the name of this node
     * @param failures the number of consecutive failed reads
     * @param usable tells which entries may be chosen, if any of them may
     * @return the entry, or empty when no other entry is up
     */
    Optional<NodeAddress> factSource(String self, int failures, Predicate<NodeAddress> usable) {
        boolean readsFromWatcher = isNamed(at(ownRelays, 0), self) || ownRelays.isEmpty();
        List<NodeAddress> sources = (readsFromWatcher ? watchers : ownRelays)
                .stream().filter(usable).toList();
        Optional<NodeAddress> source = at(sources, failures % RANKED_FACT_SOURCES)
                .filter(entry -> !entry.name().equals(self));
        boolean asksAny = failures % READS_PER_OTHER == READS_PER_OTHER - 1;
        if (source.isPresent() && !asksAny) {
            return source;
        }
        List<NodeAddress> others = new ArrayList<>(up);
        others.removeIf(entry -> entry.name().equals(self));
        List<NodeAddress> usableOthers = others.stream().filter(usable).toList();
        return randomOf(usableOthers.isEmpty() ? others : usableOthers);
    }

    private Optional<NodeAddress> randomOf(List<NodeAddress> entries) {
        return entries.isEmpty() ? Optional.empty() : Optional.of(entries.get(random.nextInt(entries.size())));
    }

    /** Returns the entry that a duty is assigned to. */
    Optional<NodeAddress> assigneeOf(String duty) {
        return assignee(up, duty);
    }

    private static Optional<NodeAddress> at(List<NodeAddress> entries, int index) {
        return index < entries.size() ? Optional.of(entries.get(index)) : Optional.empty();
    }

    private static boolean isNamed(Optional<NodeAddress> entry, String name) {
        return entry.filter(known -> known.name().equals(name)).isPresent();
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
