package org.galenahinge.wire;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.galenahinge.concurrent.Timers;

/** Timers that run on one event loop of {@link NetworkThreads}. */
public final class EventLoopTimers implements Timers {
    private final EventLoop loop;

    private EventLoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Creates the timers of an event loop.
     *
     * @param loop the event loop
     * @return the timers, whose actions run on its thread
     */
    public static EventLoopTimers of(EventLoop loop) {
        return new EventLoopTimers(Objects.requireNonNull(loop, "loop"));
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public Instant timeOfDay() {
        return Instant.ofEpochMilli(System.currentTimeMillis());
    }

    @Override
    public Timer schedule(Duration delay, Runnable action) {
        Future<?> timer = loop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }
}
