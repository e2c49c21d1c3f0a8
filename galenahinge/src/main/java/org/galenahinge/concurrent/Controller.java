package org.galenahinge.concurrent;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.jctools.queues.MpscArrayQueue;

/**
 * Runs one duty on one thread, fed by a bounded ring.
 *
 * <pre>
 * Controller&lt;Event&gt; controller = Controller.start("tickets", 1024, tick, this::handle, this::tick);
 * if (!controller.offer(event)) { return notRun(); }
 * </pre>
 *
 * @param <E> the type of the events
 */
public final class Controller<E> implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Controller.class);
    private static final int BATCH = 64;

    private final MpscArrayQueue<E> ring;
    private final Consumer<E> handler;
    private final Tick tick;
    private final long tickNanos;
    private final Thread thread;
    private final AtomicBoolean parked = new AtomicBoolean();
    private volatile boolean open = true;

    private Controller(String name, int capacity, Duration tickEvery, Consumer<E> handler, Tick tick) {
        this.ring = new MpscArrayQueue<>(capacity);
        this.handler = handler;
        this.tick = tick;
        this.tickNanos = tickEvery.toNanos();
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    /** What runs between events. */
    @FunctionalInterface
    public interface Tick {
        /**
         * Does what is due.
         *
         * @return how long it may be left alone when no event comes; shorter waits than the controller's tick are
         *     lengthened to it
         */
        Duration run();

        /**
         * Makes a tick that is always due again after the controller's own interval.
         *
         * @param action what to do
         * @return the tick
         */
        static Tick always(Runnable action) {
            return () -> {
                action.run();
                return Duration.ZERO;
            };
        }
    }

    /**
     * Creates a controller and starts its thread.
     *
     * @param name the thread's name
     * @param capacity the bound of the ring, in events
     * @param tickEvery how long after an event or a tick the next tick runs at the earliest
     * @param handler handles one event, on the controller's thread
     * @param tick runs on the controller's thread between events
     * @param <E> the type of the events
     * @return the running controller
     */
    public static <E> Controller<E> start(
            String name, int capacity, Duration tickEvery, Consumer<E> handler, Tick tick) {
        Controller<E> controller = create(name, capacity, tickEvery, handler, tick);
        controller.begin();
        return controller;
    }

    /**
     * Creates a controller whose thread starts with {@link #begin}; until then events wait in the ring.
     *
     * @param name the thread's name
     * @param capacity the bound of the ring, in events
     * @param tickEvery how long after an event or a tick the next tick runs at the earliest
     * @param handler handles one event, on the controller's thread
     * @param tick runs on the controller's thread between events
     * @param <E> the type of the events
     * @return the controller
     */
    public static <E> Controller<E> create(
            String name, int capacity, Duration tickEvery, Consumer<E> handler, Tick tick) {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(handler, "handler");
        Objects.requireNonNull(tick, "tick");
        if (capacity < 2) {
            throw new IllegalArgumentException("capacity must be at least 2 events: " + capacity);
        }
        return new Controller<>(name, capacity, tickEvery, handler, tick);
    }

    /** Starts the thread. */
    public void begin() {
        thread.start();
    }

    /**
     * Offers an event without ever blocking.
     *
     * @param event the event
     * @return false when the ring is full or the controller is closed: the event was not taken and never will be
     */
    public boolean offer(E event) {
        if (!open || !ring.offer(event)) {
            return false;
        }
        if (parked.get()) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /**
     * Offers an event that brings new work, and leaves half of the ring to events that end work.
     *
     * @param event the event
     * @return false when the ring is half full or the controller is closed: the event was not taken
     */
    public boolean offerWork(E event) {
        return ring.size() < ring.capacity() / 2 && offer(event);
    }

    /** Stops the thread after the event that it is handling. Events still in the ring are dropped. */
    @Override
    public void close() {
        open = false;
        LockSupport.unpark(thread);
    }

    private void run() {
        long nextTick = System.nanoTime() + tickNanos;
        while (open) {
            int handled = ring.drain(this::handleSafely, BATCH);
            long now = System.nanoTime();
            if (handled > 0 && nextTick - now > tickNanos) {
                nextTick = now + tickNanos;
            }
            if (now - nextTick >= 0) {
                nextTick = System.nanoTime() + Math.max(tickNanos, tickSafely());
            }
            if (handled == 0) {
                park(nextTick - System.nanoTime());
            }
        }
    }

    private long tickSafely() {
        long[] rest = {0};
        runSafely(() -> rest[0] = tick.run().toNanos());
        return rest[0];
    }

    private void park(long nanos) {
        if (nanos <= 0) {
            return;
        }
        parked.set(true);
        if (ring.isEmpty()) {
            LockSupport.parkNanos(this, Math.min(nanos, TimeUnit.SECONDS.toNanos(1)));
        }
        parked.set(false);
    }

    private void handleSafely(E event) {
        runSafely(() -> handler.accept(event));
    }

    private void runSafely(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.errorf(e, "controller %s: an event failed; the controller goes on", thread.getName());
        }
    }
}
