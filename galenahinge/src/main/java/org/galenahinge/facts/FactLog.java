package org.galenahinge.facts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Holds the newest item of each key. Changes may arrive out of order, repeatedly or incompletely, from the store or from
 * other nodes, and no key goes back to an older item: neither because of a late copy, nor because the store was restored
 * from an older copy of itself. Belongs to one thread.
 *
 * <p>Items are ordered by what they say where that has an order ({@link FactRank}), and by their position in the store
 * otherwise. Removals are kept as well, so that an older copy cannot bring back a removed item. Their number is bounded.
 *
 * <p>Nodes that read this log learn what it holds by the sequence of its own changes, since what it holds may be ahead of
 * a store that was restored.
 */
public final class FactLog {
    /** The maximum number of removals kept. */
    public static final int MAXIMUM_REMOVALS = 2_000;

    private final long id;
    private final Map<String, Held> items = new HashMap<>();
    private int removals;
    private StorePosition position = StorePosition.NONE;
    private StorePosition newestDroppedRemoval = StorePosition.NONE;
    private long sequence;
    private long droppedSequence;

    /** An item, and the number of the change of this log that brought it. */
    private record Held(FactItem item, long sequence) {}

    private FactLog(long id) {
        this.id = id;
    }

    /**
     * Creates an empty log.
     *
     * @param id identifies the log among those of all nodes and starts; not 0
     * @return the log
     */
    public static FactLog create(long id) {
        if (id == 0) {
            throw new IllegalArgumentException("id must not be 0");
        }
        return new FactLog(id);
    }

    /**
     * Merges changes.
     *
     * @param changes the changes, in any order
     * @param completeTo the position up to which the sender's changes are complete
     * @return the changes that say something new, ordered by position
     */
    public List<FactItem> merge(Collection<FactItem> changes, StorePosition completeTo) {
        return merge(changes, completeTo, true);
    }

    /**
     * Merges a snapshot. Items that it lacks are removed, except those newer than the snapshot, those that never end, and
     * instructions that the store lost when it was restored.
     *
     * @param snapshot all items
     * @param takenAt the store's position when reading the snapshot began
     * @return the changes that say something new, ordered by position
     */
    public List<FactItem> mergeSnapshot(Collection<FactItem> snapshot, StorePosition takenAt) {
        Set<String> keys = new HashSet<>();
        snapshot.forEach(item -> keys.add(item.key()));
        List<FactItem> lacking = new ArrayList<>();
        for (Held held : items.values()) {
            FactItem item = held.item();
            boolean older = item.position().compareTo(takenAt) <= 0;
            boolean kept = item.isPermanent() || wasLostInRestore(item, takenAt);
            if (older && !item.removed() && !kept && !keys.contains(item.key())) {
                lacking.add(item);
            }
        }
        List<FactItem> applied = new ArrayList<>();
        for (FactItem item : lacking) {
            FactItem removal = FactItem.removed(item.key(), takenAt).replacing(item, false);
            put(removal, ++sequence);
            applied.add(removal);
        }
        applied.addAll(merge(snapshot, takenAt, false));
        return ordered(applied);
    }

    /**
     * Merges a snapshot of the store that was read long after it was restored. Records of what has ended have expired by
     * then, so what it still holds exists, although a removal of it was retained over the copy.
     *
     * @param snapshot all items
     * @param takenAt the store's position when reading the snapshot began
     * @return the changes that say something new, ordered by position
     */
    public List<FactItem> mergeSettledSnapshot(Collection<FactItem> snapshot, StorePosition takenAt) {
        Map<String, FactItem> stored = new HashMap<>();
        snapshot.forEach(item -> stored.put(item.key(), item));
        List<FactItem> applied = new ArrayList<>();
        for (Held held : List.copyOf(items.values())) {
            FactItem removal = held.item();
            if (!isRetainedRemoval(removal)) {
                continue;
            }
            FactItem item = stored.get(removal.key());
            if (item == null) {
                put(FactItem.removed(removal.key(), takenAt).replacing(removal, false), held.sequence());
            } else if (!item.isEarlierStageOf(removal)) {
                FactItem confirmed = item.confirmedAt(takenAt);
                put(confirmed, ++sequence);
                applied.add(confirmed);
            }
        }
        applied.addAll(mergeSnapshot(snapshot, takenAt));
        return ordered(applied);
    }

    /**
     * Tells whether any removal was retained over the copy from which the store was restored.
     *
     * @return whether {@link #mergeSettledSnapshot} may bring something back
     */
    public boolean hasRetainedRemovals() {
        return items.values().stream().anyMatch(held -> isRetainedRemoval(held.item()));
    }

    /**
     * Returns what a reader does not know.
     *
     * @param reader how far the reader has read
     * @return the changes, or all items with their removals if it cannot be told which ones the reader knows
     */
    public Changes changesAfter(FactCursor reader) {
        boolean needsAll = needsAll(reader);
        List<FactItem> changes = items.values().stream()
                .filter(needsAll ? held -> true : unknownTo(reader))
                .map(Held::item)
                .sorted(Comparator.comparing(FactItem::position))
                .toList();
        return new Changes(changes, needsAll, cursor());
    }

    /**
     * Returns how far a reader has read that knows all of this log.
     *
     * @return the cursor
     */
    public FactCursor cursor() {
        return new FactCursor(position, id, sequence);
    }

    /**
     * Tells whether a reader must be told something at once: a change, or where to read on in this log.
     *
     * @param reader how far the reader has read
     * @return whether it has not read this log to its end
     */
    public boolean hasChangesAfter(FactCursor reader) {
        return reader.logId() != id || reader.sequence() < sequence;
    }

    /**
     * Returns the items that are not removed.
     *
     * @return the items, ordered by position
     */
    public List<FactItem> present() {
        return items.values().stream()
                .map(Held::item)
                .filter(item -> !item.removed())
                .sorted(Comparator.comparing(FactItem::position))
                .toList();
    }

    /**
     * Returns how large the items are that are not removed.
     *
     * @return the sum of their values, in bytes
     */
    public long presentBytes() {
        return items.values().stream()
                .mapToLong(held -> held.item().value().length)
                .sum();
    }

    /**
     * Returns how large the largest item is.
     *
     * @return the size of its value, in bytes
     */
    public long largestBytes() {
        return items.values().stream()
                .mapToLong(held -> held.item().value().length)
                .max()
                .orElse(0);
    }

    /**
     * Returns the position up to which the held items are complete.
     *
     * @return the position, {@link StorePosition#NONE} before the first snapshot
     */
    public StorePosition position() {
        return position;
    }

    /**
     * Returns the number of items that are kept although the store was restored from a copy without them, and that have
     * not been written since.
     *
     * @return the number of items, removals included
     */
    public long retained() {
        return items.values().stream().filter(held -> held.item().isRetained()).count();
    }

    private List<FactItem> merge(Collection<FactItem> changes, StorePosition completeTo, boolean incremental) {
        boolean restored = position.isKnown() && completeTo.epoch() > position.epoch();
        List<FactItem> applied = new ArrayList<>();
        for (FactItem change : changes) {
            if (applyIfNewer(change, incremental)) {
                applied.add(change);
            }
        }
        if (completeTo.compareTo(position) > 0) {
            position = completeTo;
        }
        boolean earlierEpoch =
                changes.stream().anyMatch(change -> change.position().epoch() < position.epoch());
        if (restored || earlierEpoch) {
            retainEarlierEpochs();
        }
        dropOldRemovals();
        return ordered(applied);
    }

    private static List<FactItem> ordered(List<FactItem> changes) {
        return changes.stream().sorted(Comparator.comparing(FactItem::position)).toList();
    }

    private static boolean isRetainedRemoval(FactItem item) {
        return item.removed() && item.isRetained();
    }

    /** Returns whether the change says something new. */
    private boolean applyIfNewer(FactItem change, boolean incremental) {
        Held held = items.get(change.key());
        if (held == null) {
            boolean mayBeDropped = change.removed() && change.position().compareTo(newestDroppedRemoval) <= 0;
            if (mayBeDropped || isLost(change)) {
                return false;
            }
            put(change, ++sequence);
            return true;
        }
        if (!change.supersedes(held.item())) {
            return false;
        }
        FactItem next = change.replacing(held.item(), incremental);
        boolean same = next.describesSame(held.item());
        put(next, same ? held.sequence() : ++sequence);
        return !same;
    }

    /** Tells whether a snapshot lacks an item because of a restore, not because the item was removed. */
    private static boolean wasLostInRestore(FactItem item, StorePosition takenAt) {
        boolean restoredSince = item.isRetained() || item.position().epoch() < takenAt.epoch();
        return item.outlivesRestore() && restoredSince;
    }

    /** Tells whether the restored store lacks an item that it held before; what still exists is written again. */
    private boolean isLost(FactItem change) {
        return !change.removed()
                && !change.outlivesRestore()
                && change.position().epoch() < position.epoch();
    }

    private void put(FactItem item, long changeSequence) {
        Held before = items.put(item.key(), new Held(item, changeSequence));
        removals += (item.removed() ? 1 : 0) - (before != null && before.item().removed() ? 1 : 0);
    }

    /**
     * Moves the items of earlier epochs to this one, so that what is written from now on is newer than they are. Those that
     * the restored store holds as well have been moved with their own revisions.
     */
    private void retainEarlierEpochs() {
        items.replaceAll((key, held) -> held.item().position().epoch() < position.epoch()
                ? new Held(held.item().retainedAt(position), held.sequence())
                : held);
    }

    private boolean needsAll(FactCursor reader) {
        if (reader.logId() == id) {
            return reader.sequence() < droppedSequence;
        }
        boolean sameHistory = reader.position().isKnown() && reader.position().epoch() == position.epoch();
        return !sameHistory || reader.position().compareTo(newestDroppedRemoval) < 0;
    }

    private Predicate<Held> unknownTo(FactCursor reader) {
        if (reader.logId() == id) {
            return held -> held.sequence() > reader.sequence();
        }
        return held -> held.item().position().compareTo(reader.position()) > 0
                || held.item().isRetained();
    }

    private void dropOldRemovals() {
        if (removals <= MAXIMUM_REMOVALS) {
            return;
        }
        List<Held> oldest = items.values().stream()
                .filter(held -> held.item().removed())
                .sorted(Comparator.comparing(held -> held.item().position()))
                .limit(MAXIMUM_REMOVALS / 2)
                .toList();
        for (Held removal : oldest) {
            items.remove(removal.item().key());
            droppedSequence = Math.max(droppedSequence, removal.sequence());
            if (removal.item().position().compareTo(newestDroppedRemoval) > 0) {
                newestDroppedRemoval = removal.item().position();
            }
            removals--;
        }
    }

    /**
     * What a reader does not know.
     *
     * @param items the changes, or all items with their removals
     * @param snapshot whether these are all items, so that any other item has been removed
     * @param cursor how far the reader has read with them
     */
    public record Changes(List<FactItem> items, boolean snapshot, FactCursor cursor) {
        /** Copies the items. */
        public Changes {
            items = List.copyOf(items);
        }
    }
}
