package org.galenahinge.concurrent;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A bounded list of items that wait for a condition, each with its own timeout. Not thread-safe: must be used on the
 * thread of its timers.
 *
 * @param <T> the type of the items
 */
public final class WaitList<T> {
    private final Timers timers;
    private final int capacity;
    private final Set<Entry<T>> entries = new LinkedHashSet<>();

    private static final class Entry<T> {
        private final T item;
        private Timers.Timer timer = () -> {};

        Entry(T item) {
            this.item = item;
        }
    }

    /**
     * Creates an empty list.
     *
     * @param timers runs the timeouts
     * @param capacity the maximum number of waiting items
     */
    public WaitList(Timers timers, int capacity) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.capacity = capacity;
    }

    /**
     * Tells whether the list is full.
     *
     * @return whether the maximum number of items is waiting
     */
    public boolean isFull() {
        return entries.size() >= capacity;
    }

    /**
     * Adds an item.
     *
     * @param item the item
     * @param timeout the maximum time that the item waits
     * @param onTimeout receives the item after it has been removed because of its timeout
     * @throws IllegalStateException when the list is full
     */
    public void add(T item, Duration timeout, Consumer<T> onTimeout) {
        if (isFull()) {
            throw new IllegalStateException("the wait list is full: " + capacity + " items");
        }
        Entry<T> entry = new Entry<>(item);
        entries.add(entry);
        entry.timer = timers.schedule(timeout, () -> {
            entries.remove(entry);
            onTimeout.accept(item);
        });
    }

    /**
     * Removes the items whose condition holds, in the order in which they were added.
     *
     * @param ready tests the condition of an item
     * @param onRemoved receives each removed item
     */
    public void removeReady(Predicate<T> ready, Consumer<T> onRemoved) {
        for (Entry<T> entry : List.copyOf(entries)) {
            if (ready.test(entry.item) && entries.remove(entry)) {
                entry.timer.cancel();
                onRemoved.accept(entry.item);
            }
        }
    }
}
