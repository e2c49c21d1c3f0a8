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

/** Reads the platform's VM list again and again, and keeps the last one while the platform is down. One thread. */
final class FleetController implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FleetController.class);
    private static final int RING = 64;
    private static final Duration TICK = Duration.ofMillis(100);
    private static final long READ_EVERY_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long GREATEST_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final VmListClient list;
    private final Consumer<Fleet> changed;
    private final Random random = new Random();
    private final Controller<Optional<Fleet>> controller;
    private final Counter reads;
    private volatile Fleet fleet = Fleet.empty();
    private boolean reading;
    private long nextReadNanos = System.nanoTime();
    private long intervalNanos = READ_EVERY_NANOS;

    private FleetController(VmListClient list, Consumer<Fleet> changed, MetricRegistry metrics) {
        this.list = list;
        this.changed = changed;
        this.reads = metrics.counter("platform.vm-list.reads");
        this.controller = Controller.create("fleet", RING, TICK, this::read, this::tick);
    }

    static FleetController create(VmListClient list, Consumer<Fleet> changed, MetricRegistry metrics) {
        return new FleetController(
                Objects.requireNonNull(list, "list"), Objects.requireNonNull(changed, "changed"), metrics);
    }

    /** The VMs as last read, empty before the first read. */
    Fleet fleet() {
        return fleet;
    }

    void begin() {
        controller.startThread();
    }

    @Override
    public void close() {
        controller.close();
    }

    private Duration tick() {
        long now = System.nanoTime();
        if (reading || now - nextReadNanos < 0) {
            return Duration.ofNanos(Math.max(0, nextReadNanos - now));
        }
        reading = true;
        reads.inc();
        list.read()
                .handle((read, error) -> error == null ? Optional.of(read) : Optional.<Fleet>empty())
                .thenAccept(controller::offer);
        return TICK;
    }

    private void read(Optional<Fleet> read) {
        reading = false;
        intervalNanos = read.isPresent() ? READ_EVERY_NANOS : Math.min(GREATEST_BACKOFF_NANOS, intervalNanos * 2);
        nextReadNanos = System.nanoTime() + (long) (intervalNanos * (0.75 + 0.5 * random.nextDouble()));
        if (read.isEmpty()) {
            LOG.debug("cannot read the VM list; keeping the last one");
            return;
        }
        if (read.get().revision() != fleet.revision()) {
            fleet = read.get();
            changed.accept(fleet);
        }
    }
}
