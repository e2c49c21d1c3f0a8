package org.galenahinge.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests of one service that wait for a place, most urgent first; those that can still be on time go before those that
 * cannot. Bounded; belongs to one thread.
 *
 * <p>Answers two loads: short bursts, since a place comes free every few milliseconds across a service, so that a short
 * wait saves the caller a refusal and a second try; and the moment after an outage, when many are late already and must
 * not make those late that have just come.
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
     * @param onTimeNanos until when it can still be on time, in nanoseconds
     * @param untilNanos how long it may, in nanoseconds
     * @param number tells equals apart
     * @param <T> what waits
     */
    public record Entry<T>(T item, int priority, long sinceNanos, long onTimeNanos, long untilNanos, long number) {}

    /**
     * Adds one.
     *
     * @param item what waits
     * @param priority its rank, 0 first
     * @param sinceNanos since when it counts as waiting, in nanoseconds
     * @param onTimeNanos until when it can still be on time, in nanoseconds
     * @param untilNanos how long it may wait, in nanoseconds
     * @return whether there was room
     */
    public boolean offer(T item, int priority, long sinceNanos, long onTimeNanos, long untilNanos) {
        if (entries.size() >= capacity) {
            return false;
        }
        return entries.add(new Entry<>(item, priority, sinceNanos, onTimeNanos, untilNanos, nextNumber++));
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
     * @param nowNanos the time, in nanoseconds
     * @param taker tells whether it took one
     */
    public void serve(long nowNanos, Predicate<T> taker) {
        List<Entry<T>> ordered = new ArrayList<>(entries);
        ordered.sort(Comparator.comparing(entry -> nowNanos - entry.onTimeNanos() >= 0));
        for (Entry<T> entry : ordered) {
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
