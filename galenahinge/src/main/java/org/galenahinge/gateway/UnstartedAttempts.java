package org.galenahinge.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.galenahinge.concurrent.Timers;

/**
 * The attempts that were sent to engines and have brought no event yet. An engine begins them on the weights that it has by then,
 * however long they lie in its socket or its queue, so those at engines with older weights are withdrawn before the rollout time of
 * the newer ones ends. A response that is no stream shows its begin only with its head. Used by the gateway's thread only.
 */
final class UnstartedAttempts {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    private final Timers timers;
    private final Function<String, OptionalLong> requiredVersion;
    private final Set<UnstartedAttempt> attempts = new LinkedHashSet<>();
    private boolean checkScheduled;

    /** An attempt that has been sent and has not begun, as far as this node knows. */
    interface UnstartedAttempt {
        /** Returns the model whose weights it needs, empty for a request that needs none. */
        Optional<String> model();

        /** Returns the newest version of the model that its upstream is known to have; 0 for none. */
        long knownVersion();

        /** Ends the attempt so that its upstream drops it. */
        void withdraw(long required);
    }

    /**
     * Creates an empty set.
     *
     * @param timers the clock
     * @param requiredVersion returns the version of a model that every attempt must have by now, or empty if any will do
     */
    UnstartedAttempts(Timers timers, Function<String, OptionalLong> requiredVersion) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.requiredVersion = Objects.requireNonNull(requiredVersion, "requiredVersion");
    }

    /** Adds an attempt that is being sent, unless it needs no weights. */
    void add(UnstartedAttempt attempt) {
        if (attempt.model().isEmpty()) {
            return;
        }
        attempts.add(attempt);
        scheduleCheck();
    }

    /** Removes an attempt that has begun or ended. */
    void remove(UnstartedAttempt attempt) {
        attempts.remove(attempt);
    }

    private void scheduleCheck() {
        if (checkScheduled) {
            return;
        }
        checkScheduled = true;
        timers.schedule(CHECK_INTERVAL, this::check);
    }

    private void check() {
        checkScheduled = false;
        if (!attempts.isEmpty()) {
            scheduleCheck();
        }
        Map<String, OptionalLong> required = new HashMap<>();
        for (UnstartedAttempt attempt : List.copyOf(attempts)) {
            OptionalLong version = required.computeIfAbsent(attempt.model().orElseThrow(), requiredVersion);
            // A withdrawal before may have ended this attempt as well.
            boolean isOutdated = attempt.knownVersion() < version.orElse(0);
            if (isOutdated && attempts.remove(attempt)) {
                attempt.withdraw(version.getAsLong());
            }
        }
    }
}
