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
 * Event loop that handles events from a bounded queue, and a periodic tick, on one dedicated thread.
 *
 * <pre>
 * Controller&lt;Event&gt; controller = Controller.start("tickets", 1024, minimumTickInterval, this::handle, this::tick);
 * if (!controller.offer(event)) { return reject(); }
 * </pre>
 *
 * @param <E> the type of the events
 */
public final class Controller<E> implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Controller.class);
    private static final int BATCH_EVENTS = 64;

    private final MpscArrayQueue<E> queue;
    private final Consumer<E> handler;
    private final Tick tick;
    private final long minimumTickNanos;
    private final Thread thread;
    private final AtomicBoolean parked = new AtomicBoolean();
    private volatile boolean open = true;

    private Controller(String name, int capacity, Duration minimumTickInterval, Consumer<E> handler, Tick tick) {
        this.queue = new MpscArrayQueue<>(capacity);
        this.handler = handler;
        this.tick = tick;
        this.minimumTickNanos = minimumTickInterval.toNanos();
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    /** A periodic action that runs between events. */
    @FunctionalInterface
    public interface Tick {
        /**
         * Runs the action.
         *
         * @return the maximum delay until the next tick while no event arrives; delays shorter than the controller's
         *     minimum tick interval are lengthened to that interval
         */
        Duration run();

        /**
         * Creates a tick that runs again after each minimum tick interval.
         *
         * @param action the action
         * @return the tick
         */
        static Tick atMinimumInterval(Runnable action) {
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
     * @param capacity the maximum number of queued events, at least 2
     * @param minimumTickInterval the minimum time from an event or a tick to the next tick
     * @param handler handles one event, on the controller's thread
     * @param tick runs on the controller's thread between events
     * @param <E> the type of the events
     * @return the running controller
     */
    public static <E> Controller<E> start(
            String name, int capacity, Duration minimumTickInterval, Consumer<E> handler, Tick tick) {
        Controller<E> controller = create(name, capacity, minimumTickInterval, handler, tick);
        controller.startThread();
        return controller;
    }

    /**
     * Creates a controller whose thread starts with {@link #startThread}; until then events stay in the queue.
     *
     * @param name the thread's name
     * @param capacity the maximum number of queued events, at least 2
     * @param minimumTickInterval the minimum time from an event or a tick to the next tick
     * @param handler handles one event, on the controller's thread
     * @param tick runs on the controller's thread between events
     * @param <E> the type of the events
     * @return the controller
     */
    public static <E> Controller<E> create(
            String name, int capacity, Duration minimumTickInterval, Consumer<E> handler, Tick tick) {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(handler, "handler");
        Objects.requireNonNull(tick, "tick");
        if (capacity < 2) {
            throw new IllegalArgumentException("capacity must be at least 2 events: " + capacity);
        }
        return new Controller<>(name, capacity, minimumTickInterval, handler, tick);
    }

    /** Starts the controller's thread, once. */
    public void startThread() {
        thread.start();
    }

    /**
     * Adds an event to the queue. Never blocks.
     *
     * @param event the event
     * @return false when the queue is full or the controller is closed: the event is not handled
     */
    public boolean offer(E event) {
        if (!open || !queue.offer(event)) {
            return false;
        }
        if (parked.get()) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /**
     * Adds an event that starts new work, for which only half of the queue is used: the other half stays free for events
     * that end work.
     *
     * @param event the event
     * @return false when the queue is half full or the controller is closed: the event is not handled
     */
    public boolean offerWork(E event) {
        return queue.size() < queue.capacity() / 2 && offer(event);
    }

    /** Stops the thread after the batch of at most 64 events that it is handling. Other queued events are dropped. */
    @Override
    public void close() {
        open = false;
        LockSupport.unpark(thread);
    }

    private void run() {
        long nextTick = System.nanoTime() + minimumTickNanos;
        while (open) {
            int handled = queue.drain(this::handleSafely, BATCH_EVENTS);
            long now = System.nanoTime();
            if (handled > 0 && nextTick - now > minimumTickNanos) {
                nextTick = now + minimumTickNanos;
            }
            if (now - nextTick >= 0) {
                nextTick = System.nanoTime() + Math.max(minimumTickNanos, tickSafely());
            }
            if (handled == 0) {
                park(nextTick - System.nanoTime());
            }
        }
    }

    private long tickSafely() {
        long[] delayNanos = {0};
        runSafely(() -> delayNanos[0] = tick.run().toNanos());
        return delayNanos[0];
    }

    private void park(long nanos) {
        if (nanos <= 0) {
            return;
        }
        parked.set(true);
        if (queue.isEmpty()) {
            LockSupport.parkNanos(this, Math.min(nanos, TimeUnit.SECONDS.toNanos(1)));
        }
        parked.set(false);
    }

    private void handleSafely(E event) {
        runSafely(() -> handler.accept(event));
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.errorf(
                    e,
                    "controller %s: unexpected exception while handling an event or a tick; the controller continues",
                    thread.getName());
        }
    }
}
