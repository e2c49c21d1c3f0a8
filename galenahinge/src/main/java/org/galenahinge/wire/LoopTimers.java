package org.galenahinge.wire;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.galenahinge.concurrent.Timers;

/** The timers of a network thread. */
public final class LoopTimers implements Timers {
    private final EventLoop loop;

    private LoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Creates the timers of a network thread.
     *
     * @param loop the thread
     * @return its timers
     */
    public static LoopTimers of(EventLoop loop) {
        return new LoopTimers(Objects.requireNonNull(loop, "loop"));
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public Timer schedule(Duration delay, Runnable action) {
        Future<?> timer = loop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }
}
