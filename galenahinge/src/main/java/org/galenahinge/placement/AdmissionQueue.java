package org.galenahinge.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * A bounded priority queue of the requests of one service that wait for a free slot. Requests whose
 * response can still be on time are dispatched first. Not thread-safe: all calls come from one thread.
 *
 * <p>It covers two situations. In a short burst, some slot of the service becomes free every few milliseconds, so a short
 * wait spares the caller a rejection and a retry. After an outage, many requests are late already and must not delay
 * new ones until those are late too.
 *
 * @param <T> type of the queued items
 */
public final class AdmissionQueue<T> {
    private final int capacity;
    private final TreeSet<Waiter<T>> waiters = new TreeSet<>(Comparator.comparingInt(Waiter<T>::priority)
            .thenComparingLong(Waiter::waitingSinceNanos)
            .thenComparingLong(Waiter::sequence));
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param capacity maximum number of queued items
     */
    public AdmissionQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * A queued item.
     *
     * @param item the item
     * @param priority its priority, 0 is the most urgent
     * @param waitingSinceNanos when it counts as having arrived, in nanoseconds
     * @param onTimeUntilNanos time until which its response can still be on time, in nanoseconds
     * @param expiresNanos when it is removed from the queue, in nanoseconds
     * @param sequence orders items with equal priority and arrival
     * @param <T> type of the item
     */
    public record Waiter<T>(
            T item, int priority, long waitingSinceNanos, long onTimeUntilNanos, long expiresNanos, long sequence) {}

    /**
     * Adds an item unless the queue is full.
     *
     * @param item the item
     * @param priority its priority, 0 is the most urgent
     * @param waitingSinceNanos when it counts as having arrived, in nanoseconds
     * @param onTimeUntilNanos time until which its response can still be on time, in nanoseconds
     * @param expiresNanos when it is removed from the queue, in nanoseconds
     * @return false if the queue is full
     */
    public boolean offer(T item, int priority, long waitingSinceNanos, long onTimeUntilNanos, long expiresNanos) {
        if (waiters.size() >= capacity) {
            return false;
        }
        return waiters.add(
                new Waiter<>(item, priority, waitingSinceNanos, onTimeUntilNanos, expiresNanos, nextSequence++));
    }

    /**
     * Removes an item, if it is queued.
     *
     * @param item the item, compared by identity
     */
    public void remove(T item) {
        waiters.removeIf(waiter -> waiter.item() == item);
    }

    /**
     * Removes the expired items.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the removed items
     */
    public List<T> removeExpired(long nowNanos) {
        List<T> expired = new ArrayList<>();
        waiters.removeIf(waiter -> {
            boolean late = nowNanos - waiter.expiresNanos() >= 0;
            if (late) {
                expired.add(waiter.item());
            }
            return late;
        });
        return expired;
    }

    /**
     * Passes each queued item to the dispatcher, those that can be on time first and then by priority and arrival, and
     * removes the items that it accepts.
     *
     * @param nowNanos the time, in nanoseconds
     * @param dispatcher returns whether it accepted the item
     */
    public void dispatch(long nowNanos, Predicate<T> dispatcher) {
        List<Waiter<T>> ordered = new ArrayList<>(waiters);
        ordered.sort(Comparator.comparing(waiter -> nowNanos - waiter.onTimeUntilNanos() >= 0));
        for (Waiter<T> waiter : ordered) {
            if (waiters.contains(waiter) && dispatcher.test(waiter.item())) {
                waiters.remove(waiter);
            }
        }
    }

    /**
     * Returns the number of queued items.
     *
     * @return the number of items
     */
    public int size() {
        return waiters.size();
    }
}
