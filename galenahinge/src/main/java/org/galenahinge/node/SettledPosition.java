package org.galenahinge.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.limit.NamedLimits.Position;

/**
 * The position by which this entry takes turns at cold upstreams, which too many requests would crash. It counts the entries
 * that were up lately too: in a partition, each side would otherwise use the turns of the other one. Not thread-safe.
 */
final class SettledPosition {
    /** How long an entry keeps its turns after it was last up. */
    private static final Duration RETENTION = Duration.ofMinutes(2);

    /** An entry that has just joined may not know all others yet. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(1_500);

    private final EntryRoster roster;
    private final NodeAddress self;
    private final BooleanSupplier settled;
    private final Timers timers;
    private final Map<String, Long> lastUpNanos = new HashMap<>();
    private List<NodeAddress> lastUp = List.of();
    private Optional<Long> settledNanos = Optional.empty();
    private Optional<Position> position = Optional.empty();
    private long nextExpiryNanos;

    /**
     * @param roster the entries that are up
     * @param self this entry
     * @param settled tells whether this entry knows most of the others
     * @param timers the clock
     */
    SettledPosition(EntryRoster roster, NodeAddress self, BooleanSupplier settled, Timers timers) {
        this.roster = Objects.requireNonNull(roster, "roster");
        this.self = Objects.requireNonNull(self, "self");
        this.settled = Objects.requireNonNull(settled, "settled");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /** Returns the position, empty while this entry does not know the others well enough. */
    Optional<Position> get() {
        long now = timers.nanoTime();
        update(now);
        if (settledNanos.isEmpty() && settled.getAsBoolean()) {
            settledNanos = Optional.of(now);
        }
        boolean isSettled = settledNanos
                .filter(since -> now - since >= SETTLE_TIME.toNanos())
                .isPresent();
        return isSettled ? position : Optional.empty();
    }

    /** Records which entries are up, to be called when they have changed. */
    void rosterChanged() {
        update(timers.nanoTime());
    }

    private void update(long now) {
        List<NodeAddress> up = roster.up();
        boolean isCurrent = position.isPresent() && up.equals(lastUp) && now - nextExpiryNanos < 0;
        if (isCurrent) {
            return;
        }
        lastUp.forEach(entry -> lastUpNanos.put(entry.text(), now));
        up.forEach(entry -> lastUpNanos.put(entry.text(), now));
        lastUpNanos.put(self.text(), now);
        lastUp = up;
        lastUpNanos.values().removeIf(last -> now - last >= RETENTION.toNanos());
        nextExpiryNanos = now + RETENTION.toNanos();
        for (long last : lastUpNanos.values()) {
            long expiry = last + RETENTION.toNanos();
            nextExpiryNanos = expiry - nextExpiryNanos < 0 ? expiry : nextExpiryNanos;
        }
        TreeSet<String> entries = new TreeSet<>(lastUpNanos.keySet());
        position = Optional.of(new Position(entries.headSet(self.text()).size(), entries.size()));
    }
}
