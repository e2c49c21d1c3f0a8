package org.galenahinge.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.NavigableSet;
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
 * <p>Adding, removing and dispatching an item each take time logarithmic in the number of queued items.
 *
 * @param <T> type of the queued items, which are compared by identity; an item is queued at most once
 */
public final class AdmissionQueue<T> {
    /** Bounds the work of a dispatch when the first items cannot use what is free, but others might. */
    private static final int MAXIMUM_SKIPPED_PER_DISPATCH = 16;

    private final int capacity;
    private final IdentityHashMap<T, Waiter<T>> waiters = new IdentityHashMap<>();
    private final NavigableSet<Waiter<T>> onTime = new TreeSet<>(dispatchOrder());
    private final NavigableSet<Waiter<T>> late = new TreeSet<>(dispatchOrder());
    private final NavigableSet<Waiter<T>> byOnTimeEnd =
            new TreeSet<>(Comparator.comparingLong(Waiter<T>::onTimeUntilNanos).thenComparingLong(Waiter::sequence));
    private final NavigableSet<Waiter<T>> byExpiry =
            new TreeSet<>(Comparator.comparingLong(Waiter<T>::expiresNanos).thenComparingLong(Waiter::sequence));
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
        Waiter<T> waiter =
                new Waiter<>(item, priority, waitingSinceNanos, onTimeUntilNanos, expiresNanos, nextSequence++);
        waiters.put(item, waiter);
        onTime.add(waiter);
        byOnTimeEnd.add(waiter);
        byExpiry.add(waiter);
        return true;
    }

    /**
     * Removes an item, if it is queued.
     *
     * @param item the item, compared by identity
     */
    public void remove(T item) {
        Waiter<T> waiter = waiters.get(item);
        if (waiter != null) {
            remove(waiter);
        }
    }

    /**
     * Removes the expired items.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the removed items, those that expired first at the front
     */
    public List<T> removeExpired(long nowNanos) {
        List<T> expired = new ArrayList<>();
        while (!byExpiry.isEmpty() && nowNanos - byExpiry.first().expiresNanos() >= 0) {
            Waiter<T> waiter = byExpiry.first();
            remove(waiter);
            expired.add(waiter.item());
        }
        return expired;
    }

    /**
     * Removes the items that meet a condition.
     *
     * @param condition the condition
     * @return the removed items, those that would have expired first at the front
     */
    public List<T> removeIf(Predicate<T> condition) {
        List<T> removed = byExpiry.stream().map(Waiter::item).filter(condition).toList();
        removed.forEach(this::remove);
        return removed;
    }

    /**
     * Passes queued items to the dispatcher, those that can be on time first and then by priority and arrival, and
     * removes the items that it accepts. Ends after a number of items that the dispatcher did not accept.
     *
     * @param nowNanos the time, in nanoseconds
     * @param dispatcher returns whether it accepted the item
     */
    public void dispatch(long nowNanos, Predicate<T> dispatcher) {
        dispatch(nowNanos, item -> true, dispatcher);
    }

    /**
     * Passes those queued items that may use what is free to the dispatcher, in the same order. The others do not count
     * as items that the dispatcher did not accept, so that they do not keep the free slots from the items behind them.
     *
     * @param nowNanos the time, in nanoseconds
     * @param mayUse returns whether the item may use what is free
     * @param dispatcher returns whether it accepted the item
     */
    public void dispatch(long nowNanos, Predicate<T> mayUse, Predicate<T> dispatcher) {
        separateLate(nowNanos);
        long firstNewSequence = nextSequence;
        int skipped = dispatch(onTime, firstNewSequence, MAXIMUM_SKIPPED_PER_DISPATCH, mayUse, dispatcher);
        dispatch(late, firstNewSequence, MAXIMUM_SKIPPED_PER_DISPATCH - skipped, mayUse, dispatcher);
    }

    /**
     * Returns how many queued items an item that is added now would have ahead of it, if all have its priority.
     *
     * @param onTimeUntilNanos time until which the response of the item can still be on time, in nanoseconds
     * @param nowNanos the time, in nanoseconds
     * @return all items, or only those that can be on time if the new one can
     */
    public int sizeAhead(long onTimeUntilNanos, long nowNanos) {
        separateLate(nowNanos);
        boolean itemIsLate = nowNanos - onTimeUntilNanos >= 0;
        return itemIsLate ? waiters.size() : onTime.size();
    }

    /**
     * Returns the queued items.
     *
     * @return a copy, those that would expire first at the front
     */
    public List<T> items() {
        return byExpiry.stream().map(Waiter::item).toList();
    }

    /**
     * Returns the number of queued items.
     *
     * @return the number of items
     */
    public int size() {
        return waiters.size();
    }

    /** Returns how many items the dispatcher did not accept. The dispatcher may add and remove items. */
    private int dispatch(
            NavigableSet<Waiter<T>> ordered,
            long firstNewSequence,
            int maximumSkipped,
            Predicate<T> mayUse,
            Predicate<T> dispatcher) {
        int skipped = 0;
        Waiter<T> next = ordered.isEmpty() ? null : ordered.first();
        while (next != null && skipped < maximumSkipped) {
            Waiter<T> waiter = next;
            boolean isNew = waiter.sequence() >= firstNewSequence;
            if (mayUse.test(waiter.item())) {
                if (!isNew && dispatcher.test(waiter.item())) {
                    remove(waiter);
                } else {
                    skipped++;
                }
            }
            next = ordered.higher(waiter);
        }
        return skipped;
    }

    private void separateLate(long nowNanos) {
        while (!byOnTimeEnd.isEmpty() && nowNanos - byOnTimeEnd.first().onTimeUntilNanos() >= 0) {
            Waiter<T> waiter = byOnTimeEnd.pollFirst();
            onTime.remove(waiter);
            late.add(waiter);
        }
    }

    private void remove(Waiter<T> waiter) {
        waiters.remove(waiter.item(), waiter);
        onTime.remove(waiter);
        late.remove(waiter);
        byOnTimeEnd.remove(waiter);
        byExpiry.remove(waiter);
    }

    private static <T> Comparator<Waiter<T>> dispatchOrder() {
        return Comparator.comparingInt(Waiter<T>::priority)
                .thenComparingLong(Waiter::waitingSinceNanos)
                .thenComparingLong(Waiter::sequence);
    }
}
