package org.galenahinge.concurrent;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * What waits for something to happen, each for no longer than its own time. Bounded; belongs to one thread.
 *
 * @param <T> what waits
 */
public final class Waiters<T> {
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
     * Creates an empty collection.
     *
     * @param timers the clock
     * @param capacity the most that may wait
     */
    public Waiters(Timers timers, int capacity) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.capacity = capacity;
    }

    /**
     * Tells whether no more may wait.
     *
     * @return whether it is full
     */
    public boolean isFull() {
        return entries.size() >= capacity;
    }

    /**
     * Lets one wait.
     *
     * @param item what waits
     * @param wait for how long
     * @param tooLong takes it when its time is over
     * @throws IllegalStateException when this is full
     */
    public void add(T item, Duration wait, Consumer<T> tooLong) {
        if (isFull()) {
            throw new IllegalStateException("no more than " + capacity + " may wait");
        }
        Entry<T> entry = new Entry<>(item);
        entries.add(entry);
        entry.timer = timers.schedule(wait, () -> {
            entries.remove(entry);
            tooLong.accept(item);
        });
    }

    /**
     * Lets those go for which it has happened, in the order in which they came.
     *
     * @param ready tells whether it has happened for one
     * @param released takes each one that goes
     */
    public void release(Predicate<T> ready, Consumer<T> released) {
        for (Entry<T> entry : List.copyOf(entries)) {
            if (ready.test(entry.item) && entries.remove(entry)) {
                entry.timer.cancel();
                released.accept(entry.item);
            }
        }
    }
}
