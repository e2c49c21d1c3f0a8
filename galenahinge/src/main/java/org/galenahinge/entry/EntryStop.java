package org.galenahinge.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.galenahinge.request.CapacityFilter;
import org.jboss.logging.Logger;

/**
 * Waits for the requests of a stopping entry, ends those that are left when its time is over, and closes the callers'
 * connections.
 */
final class EntryStop {
    private static final Logger LOG = Logger.getLogger(EntryStop.class);

    /** Time for the responses that a stop gives at its end to reach their callers. */
    private static final Duration LAST_RESPONSE_TIME = Duration.ofSeconds(3);

    private final CapacityFilter capacity;
    private final Dispatcher dispatcher;
    private final Duration timeout;
    private final Duration reportInterval;

    EntryStop(CapacityFilter capacity, Dispatcher dispatcher, Duration timeout, Duration reportInterval) {
        this.capacity = Objects.requireNonNull(capacity, "capacity");
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
        this.timeout = Objects.requireNonNull(timeout, "timeout");
        this.reportInterval = Objects.requireNonNull(reportInterval, "reportInterval");
    }

    /**
     * Runs the stop, once new requests are rejected.
     *
     * @param closeCallers closes the callers' connections once their responses have left
     * @return completes when the connections are closed, or the time for them is over
     */
    CompletionStage<Void> run(Supplier<CompletionStage<Void>> closeCallers) {
        long endNanos = System.nanoTime() + timeout.toNanos();
        CompletableFuture<Void> idle = new CompletableFuture<>();
        capacity.whenIdle(() -> idle.complete(null));
        logActiveRequests(idle);
        return idle.completeOnTimeout(null, timeout.toMillis(), TimeUnit.MILLISECONDS)
                .thenRunAsync(dispatcher::endAll)
                .thenCompose(done -> awaitClosed(closeCallers.get(), endNanos));
    }

    /** Lets callers take the responses that are left, until the end of the stop and for at least a short time. */
    private static CompletionStage<Void> awaitClosed(CompletionStage<Void> closed, long endNanos) {
        long nanos = Math.max(endNanos - System.nanoTime(), LAST_RESPONSE_TIME.toNanos());
        return closed.toCompletableFuture().completeOnTimeout(null, nanos, TimeUnit.NANOSECONDS);
    }

    private void logActiveRequests(CompletableFuture<Void> idle) {
        CompletableFuture.delayedExecutor(reportInterval.toMillis(), TimeUnit.MILLISECONDS)
                .execute(() -> {
                    if (!idle.isDone()) {
                        LOG.infof("still waiting for %d requests to end", capacity.activeRequests());
                        logActiveRequests(idle);
                    }
                });
    }
}
