package org.galenahinge.facts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Holds the newest item of each key. Joins by revision: order, repeats and loss of what comes in cannot hurt, and no key
 * goes back. Belongs to one thread.
 *
 * <p>Removals are kept, so that an older copy from another node cannot bring an item back; their number is bounded.
 */
public final class FactLog {
    /** The most removals remembered. */
    public static final int MAXIMUM_REMOVALS = 2_000;

    private final Map<String, FactItem> items = new HashMap<>();
    private int removals;
    private long revision;
    private long forgottenRevision;

    /**
     * Takes in changes.
     *
     * @param changes the changes, in any order
     * @param completeTo the revision up to which the sender's changes are complete
     * @return the changes that were new, by revision
     */
    public List<FactItem> join(Collection<FactItem> changes, long completeTo) {
        List<FactItem> fresh = new ArrayList<>();
        for (FactItem change : changes) {
            if (put(change)) {
                fresh.add(change);
            }
        }
        revision = Math.max(revision, completeTo);
        forgetRemovals();
        fresh.sort(Comparator.comparingLong(FactItem::revision));
        return fresh;
    }

    /**
     * Takes in a whole listing: what it lacks was removed, unless it is known to be newer than the listing.
     *
     * @param listing all items
     * @param listedAt the store's revision when the listing began
     * @return the changes that were new, by revision
     */
    public List<FactItem> joinListing(Collection<FactItem> listing, long listedAt) {
        Map<String, FactItem> listed = new HashMap<>();
        listing.forEach(item -> listed.put(item.key(), item));
        List<FactItem> changes = new ArrayList<>(listing);
        for (FactItem held : items.values()) {
            if (!held.removed() && held.revision() <= listedAt && !listed.containsKey(held.key())) {
                changes.add(FactItem.removed(held.key(), listedAt));
            }
        }
        return join(changes, listedAt);
    }

    /**
     * Returns what changed after a revision.
     *
     * @param after the revision that the asker holds
     * @return the changes by revision, or all items where removals since then may be forgotten
     */
    public Changes changesAfter(long after) {
        List<FactItem> changes = items.values().stream()
                .filter(changedAfter(after))
                .sorted(Comparator.comparingLong(FactItem::revision))
                .toList();
        return new Changes(changes, isWhole(after), revision);
    }

    /**
     * Tells whether {@link #changesAfter} has any items.
     *
     * @param after the revision that the asker holds
     * @return whether something changed
     */
    public boolean hasChangesAfter(long after) {
        return items.values().stream().anyMatch(changedAfter(after));
    }

    /** Whether removals that the asker does not know of may be forgotten. */
    private boolean isWhole(long after) {
        return after < forgottenRevision || after == 0;
    }

    private Predicate<FactItem> changedAfter(long after) {
        return isWhole(after) ? item -> !item.removed() : item -> item.revision() > after;
    }

    /**
     * Returns the revision up to which the held items are complete.
     *
     * @return the revision, 0 before the first listing
     */
    public long revision() {
        return revision;
    }

    private boolean put(FactItem change) {
        FactItem held = items.get(change.key());
        if (held != null && held.revision() >= change.revision()) {
            return false;
        }
        if (held == null && change.removed() && change.revision() <= forgottenRevision) {
            return false;
        }
        items.put(change.key(), change);
        removals += (change.removed() ? 1 : 0) - (held != null && held.removed() ? 1 : 0);
        return true;
    }

    private void forgetRemovals() {
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
            forgottenRevision = Math.max(forgottenRevision, removal.revision());
            removals--;
        }
    }

    /**
     * What changed after a revision.
     *
     * @param items the changes
     * @param whole whether these are all items, so that others were removed
     * @param revision the revision up to which they are complete
     */
    public record Changes(List<FactItem> items, boolean whole, long revision) {
        /** Copies the items. */
        public Changes {
            items = List.copyOf(items);
        }
    }
}
