package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.concurrent.Timers.Timer;

/**
 * Abandons an attempt that makes no progress if its request may be retried elsewhere at that moment, and otherwise asks again
 * later. Used by the gateway's thread only.
 */
final class ProgressWatch {
    private static final Duration UNRESPONSIVE_TIMEOUT = Duration.ofMillis(600);

    private final Timers timers;
    private final BooleanSupplier mayRetryElsewhere;
    private final Consumer<String> abandon;
    private Optional<Timer> stallTimer = Optional.empty();
    private Optional<Timer> unresponsiveTimer = Optional.empty();
    private long lastProgressNanos;
    private boolean responded;
    private boolean ended;

    /**
     * Creates a watch of an attempt that begins now.
     *
     * @param timers the clock
     * @param mayRetryElsewhere whether the request may be retried, and another upstream is available now
     * @param abandon abandons the attempt; receives the reason, and must end this watch
     */
    ProgressWatch(Timers timers, BooleanSupplier mayRetryElsewhere, Consumer<String> abandon) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.mayRetryElsewhere = Objects.requireNonNull(mayRetryElsewhere, "mayRetryElsewhere");
        this.abandon = Objects.requireNonNull(abandon, "abandon");
        this.lastProgressNanos = timers.nanoTime();
    }

    /** Abandons the attempt when it has made no progress for a timeout. */
    void abandonStalled(Duration timeout) {
        Duration untilTimeout = timeout.minus(sinceProgress());
        if (!untilTimeout.isNegative() && !untilTimeout.isZero()) {
            stallTimer = Optional.of(timers.schedule(untilTimeout, () -> abandonStalled(timeout)));
            return;
        }
        if (ended) {
            return;
        }
        if (mayRetryElsewhere.getAsBoolean()) {
            abandon.accept("no data received for " + sinceProgress().toMillis() + " ms");
            return;
        }
        stallTimer = Optional.of(timers.schedule(timeout.dividedBy(2), () -> abandonStalled(timeout)));
    }

    /** Abandons the attempt when nothing is received and the load reports of its upstream have stopped as well. */
    void abandonUnresponsive(BooleanSupplier isReportOverdue) {
        unresponsiveTimer =
                Optional.of(timers.schedule(UNRESPONSIVE_TIMEOUT, () -> checkUnresponsive(isReportOverdue)));
    }

    /** Records that the response has begun or gone on. */
    void recordProgress() {
        responded = true;
        lastProgressNanos = timers.nanoTime();
    }

    /** Ends the watch; the attempt has ended. */
    void end() {
        ended = true;
        stallTimer.ifPresent(Timer::cancel);
        stallTimer = Optional.empty();
        unresponsiveTimer.ifPresent(Timer::cancel);
        unresponsiveTimer = Optional.empty();
    }

    /** An upstream that sends no data and whose load reports have stopped has most likely failed. */
    private void checkUnresponsive(BooleanSupplier isReportOverdue) {
        if (ended || responded) {
            return;
        }
        if (isReportOverdue.getAsBoolean() && mayRetryElsewhere.getAsBoolean()) {
            abandon.accept("no data received for " + sinceProgress().toMillis()
                    + " ms, and the upstream's load reports have stopped");
            return;
        }
        unresponsiveTimer = Optional.of(
                timers.schedule(UNRESPONSIVE_TIMEOUT.dividedBy(2), () -> checkUnresponsive(isReportOverdue)));
    }

    private Duration sinceProgress() {
        return Duration.ofNanos(timers.nanoTime() - lastProgressNanos);
    }
}
