package org.galenahinge.facts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Holds the newest item of each key. Items are merged by revision: changes may arrive out of order, repeatedly or
 * incompletely, and no key goes back to an older revision. Belongs to one thread.
 *
 * <p>Removals are kept as well, so that an older copy from another node cannot restore a removed item. Their number is
 * bounded.
 */
public final class FactLog {
    /** The maximum number of removals kept. */
    public static final int MAXIMUM_REMOVALS = 2_000;

    private final Map<String, FactItem> items = new HashMap<>();
    private int removals;
    private long revision;
    private long newestChange;
    private long newestDroppedRemoval;

    /**
     * Merges changes.
     *
     * @param changes the changes, in any order
     * @param completeTo the revision up to which the sender's changes are complete
     * @return the changes that were newer than the items held, ordered by revision
     */
    public List<FactItem> merge(Collection<FactItem> changes, long completeTo) {
        List<FactItem> applied = new ArrayList<>();
        for (FactItem change : changes) {
            if (applyIfNewer(change)) {
                applied.add(change);
            }
        }
        revision = Math.max(revision, completeTo);
        dropOldRemovals();
        applied.sort(Comparator.comparingLong(FactItem::revision));
        return applied;
    }

    /**
     * Merges a snapshot. Items that it lacks are removed, except those newer than the snapshot.
     *
     * @param snapshot all items
     * @param takenAt the store's revision when reading the snapshot began
     * @return the changes that were newer than the items held, ordered by revision
     */
    public List<FactItem> mergeSnapshot(Collection<FactItem> snapshot, long takenAt) {
        Map<String, FactItem> itemsByKey = new HashMap<>();
        snapshot.forEach(item -> itemsByKey.put(item.key(), item));
        List<FactItem> changes = new ArrayList<>(snapshot);
        for (FactItem held : items.values()) {
            if (!held.removed() && held.revision() <= takenAt && !itemsByKey.containsKey(held.key())) {
                changes.add(FactItem.removed(held.key(), takenAt));
            }
        }
        return merge(changes, takenAt);
    }

    /**
     * Returns the changes after a revision.
     *
     * @param after the revision up to which the reader is complete
     * @return the changes ordered by revision, or a snapshot if removals since then may have been dropped
     */
    public Changes changesAfter(long after) {
        List<FactItem> changes = items.values().stream()
                .filter(changedAfter(after))
                .sorted(Comparator.comparingLong(FactItem::revision))
                .toList();
        return new Changes(changes, needsSnapshot(after), revision);
    }

    /**
     * Tells whether {@link #changesAfter} would return any items.
     *
     * @param after the revision up to which the reader is complete
     * @return whether something changed
     */
    public boolean hasChangesAfter(long after) {
        return needsSnapshot(after) ? items.size() > removals : newestChange > after;
    }

    /** Tells whether removals that the reader has not seen may have been dropped. */
    private boolean needsSnapshot(long after) {
        return after < newestDroppedRemoval || after == 0;
    }

    private Predicate<FactItem> changedAfter(long after) {
        return needsSnapshot(after) ? item -> !item.removed() : item -> item.revision() > after;
    }

    /**
     * Returns the revision up to which the held items are complete.
     *
     * @return the revision, 0 before the first snapshot
     */
    public long revision() {
        return revision;
    }

    private boolean applyIfNewer(FactItem change) {
        FactItem held = items.get(change.key());
        if (held != null && held.revision() >= change.revision()) {
            return false;
        }
        if (held == null && change.removed() && change.revision() <= newestDroppedRemoval) {
            return false;
        }
        items.put(change.key(), change);
        newestChange = Math.max(newestChange, change.revision());
        removals += (change.removed() ? 1 : 0) - (held != null && held.removed() ? 1 : 0);
        return true;
    }

    private void dropOldRemovals() {
        if (removals <= MAXIMUM_REMOVALS) {
            return;
        }
        List<FactItem> oldest = items.values().stream()
                .filter(FactItem::removed)
                .sorted(Comparator.comparingLong(FactItem::revision))
                .limit(MAXIMUM_REMOVALS / 2)
                .toList();
        for (FactItem removal : oldest) {
            items.remove(removal.key());
            newestDroppedRemoval = Math.max(newestDroppedRemoval, removal.revision());
            removals--;
        }
    }

    /**
     * The changes after a revision.
     *
     * @param items the changes, or all items of a snapshot
     * @param snapshot whether these are all items, so that any other item has been removed
     * @param revision the revision up to which they are complete
     */
    public record Changes(List<FactItem> items, boolean snapshot, long revision) {
        /** Copies the items. */
        public Changes {
            items = List.copyOf(items);
        }
    }
}
