package org.galenahinge.concurrent;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Timers that a test moves by hand. */
public final class ManualTimers implements Timers {
    private final PriorityQueue<Set> set =
            new PriorityQueue<>(Comparator.comparingLong(Set::dueNanos).thenComparingLong(Set::number));
    private long nowNanos = 1_000_000_000L;
    private long nextNumber;

    private record Set(long dueNanos, long number, Runnable action) {}

    @Override
    public long nanoTime() {
        return nowNanos;
    }

    @Override
    public Timer schedule(Duration delay, Runnable action) {
        Set timer = new Set(nowNanos + Math.max(0, delay.toNanos()), nextNumber++, action);
        set.add(timer);
        return () -> set.remove(timer);
    }

    /** Lets time pass and runs what falls due. */
    public void advance(Duration by) {
        long until = nowNanos + by.toNanos();
        while (!set.isEmpty() && set.peek().dueNanos() <= until) {
            Set due = set.poll();
            nowNanos = Math.max(nowNanos, due.dueNanos());
            due.action().run();
        }
        nowNanos = until;
    }
}
