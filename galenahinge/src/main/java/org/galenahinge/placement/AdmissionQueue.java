package org.galenahinge.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests of one service that wait for a place, most urgent first. Bounded; belongs to one thread.
 *
 * <p>Answers the load of short bursts: a place comes free every few milliseconds across a service, so a short wait saves
 * the caller a refusal and a second try.
 *
 * @param <T> what waits
 */
public final class AdmissionQueue<T> {
    private final int capacity;
    private final TreeSet<Entry<T>> entries = new TreeSet<>(Comparator.comparingInt(Entry<T>::priority)
            .thenComparingLong(Entry::sinceNanos)
            .thenComparingLong(Entry::number));
    private long nextNumber;

    /**
     * Creates an empty queue.
     *
     * @param capacity the most that may wait
     */
    public AdmissionQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * One that waits.
     *
     * @param item what waits
     * @param priority its rank, 0 first
     * @param sinceNanos since when, in nanoseconds
     * @param untilNanos how long it may, in nanoseconds
     * @param number tells equals apart
     * @param <T> what waits
     */
    public record Entry<T>(T item, int priority, long sinceNanos, long untilNanos, long number) {}

    /**
     * Adds one.
     *
     * @param item what waits
     * @param priority its rank, 0 first
     * @param sinceNanos since when it counts as waiting, in nanoseconds
     * @param untilNanos how long it may wait, in nanoseconds
     * @return whether there was room
     */
    public boolean offer(T item, int priority, long sinceNanos, long untilNanos) {
        if (entries.size() >= capacity) {
            return false;
        }
        return entries.add(new Entry<>(item, priority, sinceNanos, untilNanos, nextNumber++));
    }

    /**
     * Removes one that no longer wants to wait.
     *
     * @param item what waits
     */
    public void remove(T item) {
        entries.removeIf(entry -> entry.item() == item);
    }

    /**
     * Takes out those whose time has passed.
     *
     * @param nowNanos the time, in nanoseconds
     * @return what waited too long
     */
    public List<T> expire(long nowNanos) {
        List<T> expired = new ArrayList<>();
        entries.removeIf(entry -> {
            boolean late = nowNanos - entry.untilNanos() >= 0;
            if (late) {
                expired.add(entry.item());
            }
            return late;
        });
        return expired;
    }

    /**
     * Offers the waiting ones to a taker in their order, and takes out those that it takes.
     *
     * @param taker tells whether it took one
     */
    public void serve(Predicate<T> taker) {
        for (Entry<T> entry : List.copyOf(entries)) {
            if (entries.contains(entry) && taker.test(entry.item())) {
                entries.remove(entry);
            }
        }
    }

    /**
     * Returns how many wait.
     *
     * @return the number
     */
    public int size() {
        return entries.size();
    }
}
