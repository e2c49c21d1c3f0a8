package org.galenahinge.concurrent;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Timers whose time a test advances explicitly. */
public final class ManualTimers implements Timers {
    private final PriorityQueue<Scheduled> pending =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::dueNanos).thenComparingLong(Scheduled::number));
    private long nowNanos = 1_000_000_000L;
    private long nextNumber;
    private Duration timeOfDayAhead = Duration.ZERO;

    private record Scheduled(long dueNanos, long number, Runnable action) {}

    @Override
    public long nanoTime() {
        return nowNanos;
    }

    @Override
    public Instant timeOfDay() {
        return Instant.EPOCH.plusNanos(nowNanos).plus(timeOfDayAhead);
    }

    @Override
    public Timer schedule(Duration delay, Runnable action) {
        Scheduled timer = new Scheduled(nowNanos + Math.max(0, delay.toNanos()), nextNumber++, action);
        pending.add(timer);
        return () -> pending.remove(timer);
    }

    /** Advances the time without running any action, like a process that stands still. */
    public void standStill(Duration time) {
        nowNanos += time.toNanos();
    }

    /**
     * Advances only the time of day, like a suspended VM whose monotonic clock does not count meanwhile, or sets it
     * back.
     */
    public void stepTimeOfDay(Duration step) {
        timeOfDayAhead = timeOfDayAhead.plus(step);
    }

    /** Advances the time and runs the actions that fall due, in order of their due times. */
    public void advance(Duration by) {
        long endNanos = nowNanos + by.toNanos();
        while (!pending.isEmpty() && pending.peek().dueNanos() <= endNanos) {
            Scheduled due = pending.poll();
            nowNanos = Math.max(nowNanos, due.dueNanos());
            due.action().run();
        }
        nowNanos = Math.max(nowNanos, endNanos);
    }
}
