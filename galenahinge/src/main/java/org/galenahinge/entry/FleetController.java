package org.galenahinge.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.galenahinge.concurrent.Controller;
import org.galenahinge.membership.Fleet;
import org.galenahinge.reader.VmListClient;
import org.jboss.logging.Logger;

/**
 * Reads the platform's VM list periodically and keeps the last one while the platform is unavailable. State changes on
 * one thread.
 */
final class FleetController implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FleetController.class);
    private static final int QUEUE_CAPACITY = 64;
    private static final Duration MINIMUM_TICK_INTERVAL = Duration.ofMillis(100);
    private static final long READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long MAXIMUM_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final VmListClient client;
    private final Consumer<Fleet> listener;
    private final Random random = new Random();
    private final Controller<Optional<Fleet>> controller;
    private final Counter reads;
    private volatile Fleet fleet = Fleet.empty();
    private boolean readPending;
    private long nextReadNanos = System.nanoTime();
    private long intervalNanos = READ_INTERVAL_NANOS;

    private FleetController(VmListClient client, Consumer<Fleet> listener, MetricRegistry metrics) {
        this.client = client;
        this.listener = listener;
        this.reads = metrics.counter("platform.vm-list.reads");
        this.controller =
                Controller.create("fleet", QUEUE_CAPACITY, MINIMUM_TICK_INTERVAL, this::handleResult, this::tick);
    }

    static FleetController create(VmListClient client, Consumer<Fleet> listener, MetricRegistry metrics) {
        return new FleetController(
                Objects.requireNonNull(client, "client"), Objects.requireNonNull(listener, "listener"), metrics);
    }

    /** Returns the VMs as last read; empty before the first read. */
    Fleet fleet() {
        return fleet;
    }

    void start() {
        controller.startThread();
    }

    @Override
    public void close() {
        controller.close();
    }

    private Duration tick() {
        long now = System.nanoTime();
        if (readPending || now - nextReadNanos < 0) {
            return Duration.ofNanos(Math.max(0, nextReadNanos - now));
        }
        readPending = true;
        reads.inc();
        client.read()
                .handle((vms, error) -> error == null ? Optional.of(vms) : Optional.<Fleet>empty())
                .thenAccept(controller::offer);
        return MINIMUM_TICK_INTERVAL;
    }

    private void handleResult(Optional<Fleet> result) {
        readPending = false;
        intervalNanos =
                result.isPresent() ? READ_INTERVAL_NANOS : Math.min(MAXIMUM_READ_INTERVAL_NANOS, intervalNanos * 2);
        nextReadNanos = System.nanoTime() + (long) (intervalNanos * (0.75 + 0.5 * random.nextDouble()));
        if (result.isEmpty()) {
            LOG.debug("cannot read the VM list; keeping the last one");
            return;
        }
        if (result.get().revision() != fleet.revision()) {
            fleet = result.get();
            listener.accept(fleet);
        }
    }
}
