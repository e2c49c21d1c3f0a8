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
 * The attempts that were sent to engines and have not begun. An engine begins them on the weights that it has by then, however
 * long they lie in its socket or its queue, so an attempt is withdrawn before the time of these weights is over. Used by the
 * gateway's thread only.
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

        /** Returns the oldest version on which it may begin, as far as this node knows; 0 if unknown. */
        long oldestPossibleVersion();

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
        Map<String, OptionalLong> required = new HashMap<>();
        for (UnstartedAttempt attempt : List.copyOf(attempts)) {
            OptionalLong version = required.computeIfAbsent(attempt.model().orElseThrow(), requiredVersion);
            if (attempts.contains(attempt) && attempt.oldestPossibleVersion() < version.orElse(0)) {
                attempts.remove(attempt);
                attempt.withdraw(version.getAsLong());
            }
        }
        if (!attempts.isEmpty()) {
            scheduleCheck();
        }
    }
}
