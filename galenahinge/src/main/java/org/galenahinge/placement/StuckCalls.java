package org.galenahinge.placement;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Requests at upstreams that have fallen silent. They get free places before those that wait, since they have waited
 * longest and their callers are about to leave. Bounded; belongs to one thread.
 *
 * <p>Answers one load: VMs freeze while the engines on others are nearly full, so that what was at the frozen ones would
 * never find a place beside what comes anew.
 *
 * @param <T> what is stuck
 */
public final class StuckCalls<T> {
    private final int capacity;
    private final Set<T> stuck = new LinkedHashSet<>();

    /**
     * Creates an empty collection.
     *
     * @param capacity the most that it holds
     */
    public StuckCalls(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds one.
     *
     * @param item what is stuck
     * @return whether it is held now
     */
    public boolean add(T item) {
        return stuck.contains(item) || (stuck.size() < capacity && stuck.add(item));
    }

    /**
     * Removes one that is no longer stuck.
     *
     * @param item what was stuck
     */
    public void remove(T item) {
        stuck.remove(item);
    }

    /**
     * Offers places to those that are stuck, the first one first.
     *
     * @param mover moves one, and tells whether it is done with it
     */
    public void serve(Predicate<T> mover) {
        for (T item : List.copyOf(stuck)) {
            // Taken out first: moving one frees a place, which serves the others again.
            if (stuck.remove(item) && !mover.test(item)) {
                add(item);
            }
        }
    }

    /**
     * Returns how many are stuck.
     *
     * @return the number
     */
    public int size() {
        return stuck.size();
    }
}
