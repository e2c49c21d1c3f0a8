package org.galenahinge.bench.soak;

import java.time.Duration;
import org.galenahinge.standins.platform.EntryFleetStandIn;

/**
 * The bounds that the verdict uses.
 *
 * @param grace the time that an entry has to stop
 * @param routeTimeout the timeout of all routes
 * @param configApply the time in which an entry applies a config or changed settings
 * @param stableWindow the time after which a disruption is over
 * @param lossSlack the time after its last byte within which a request may cross a close
 * @param versionTime the time after the naming of a version from which on no request begins on an older one
 */
record Bounds(
        Duration grace,
        Duration routeTimeout,
        Duration configApply,
        Duration stableWindow,
        Duration lossSlack,
        Duration versionTime) {
    /** The time after the grace, and after a config is applied, that still belongs to the planned work. */
    static final Duration AFTER_PLANNED_WORK = Duration.ofSeconds(1);

    /** The time after SIGTERM until which a request counts as an early one. */
    static final Duration EARLY_REQUEST = Duration.ofSeconds(3);

    /** The number of requests without a complete response that an undisturbed entry may have. */
    static final int ANY_TIME_CUTS = 3;

    /** How many times as often as at other times requests may be cut beside a config. */
    static final int BESIDE_CONFIG_FACTOR = 3;

    static Bounds ofFleet() {
        return new Bounds(
                Duration.ofSeconds(EntryFleetStandIn.GRACE_SECONDS),
                Duration.ofMillis(EntryFleetStandIn.ROUTE_TIMEOUT_MILLIS),
                Duration.ofMillis(EntryFleetStandIn.CONFIG_APPLY_MILLIS),
                Duration.ofMillis(EntryFleetStandIn.STABLE_WINDOW_MILLIS),
                Duration.ofMillis(EntryFleetStandIn.LOSS_SLACK_MILLIS),
                Duration.ofMillis(EntryFleetStandIn.VERSION_MILLIS));
    }

    /** Returns the last sixth of the grace after a SIGTERM. */
    Span lastSixth(long stopNanos) {
        long graceNanos = grace.toNanos();
        return new Span(stopNanos + graceNanos - graceNanos / 6, stopNanos + graceNanos);
    }

    /** Returns the planned work of a SIGTERM. */
    Span stopSpan(long stopNanos) {
        return new Span(stopNanos, stopNanos + grace.plus(AFTER_PLANNED_WORK).toNanos());
    }

    /** Returns the planned work of a config. */
    Span configSpan(long configNanos) {
        return new Span(
                configNanos, configNanos + configApply.plus(AFTER_PLANNED_WORK).toNanos());
    }
}
