package org.galenahinge.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.galenahinge.quarantine.CrashAttribution.Cause;

/**
 * The way back out of quarantine: decides when one request with a cause of crashes is sent all the same. If it is served, the
 * cause is cleared in all nodes; if it crashes its upstream, that is one more crash of the cause.
 *
 * <p>One node tries a cause at a time. How much was tried follows from the times of the crashes, which all nodes know, so that
 * another node that takes over does not begin anew; what only this node knows is the trials of which it saw no end. A cause
 * that crashed upstreams at several moments, and that nobody has served in between, is tried rarely, and so is a request as a
 * whole; crashes at one moment may have another reason, such as a loss of power, and a part that explains only those is tried
 * soon.
 *
 * <p>Not thread-safe.
 */
final class QuarantineTrials {
    /** The rule allows three requests after a cause is certain; one may already have been on its way elsewhere. */
    private static final int MAXIMUM_TRIALS = 2;

    private static final int MAXIMUM_TRIED_CAUSES = 64;
    private static final Duration INTERVAL = Duration.ofSeconds(10);
    private static final Duration RARE_INTERVAL = Duration.ofMinutes(1);

    /** Requests that were on their way when the cause became certain have reached their upstreams after this time. */
    private static final Duration SPREAD_TIME = Duration.ofSeconds(3);

    private final Predicate<RequestTrait> triedHere;
    private final Map<Set<RequestTrait>, Trials> trials = new BoundedMap<>(MAXIMUM_TRIED_CAUSES);

    /** The trials that this node has begun, and when it began the last one, in nanoseconds. */
    private record Trials(int count, OptionalLong lastNanos) {
        private static final Trials NONE = new Trials(0, OptionalLong.empty());
    }

    private QuarantineTrials(Predicate<RequestTrait> triedHere) {
        this.triedHere = triedHere;
    }

    static QuarantineTrials create(Predicate<RequestTrait> triedHere) {
        return new QuarantineTrials(triedHere);
    }

    /**
     * Begins a trial, if one is due here.
     *
     * @param cause the cause
     * @param crashNanos when the crashes were that it explains, in nanoseconds; at least one
     * @param nowNanos the time, in nanoseconds
     * @return whether one request with the cause may be sent
     */
    boolean begin(Cause cause, List<Long> crashNanos, long nowNanos) {
        Optional<RequestTrait> first = cause.traits().stream().min(Comparator.comparingLong(RequestTrait::id));
        if (first.filter(triedHere).isEmpty()) {
            return false;
        }
        Trials before = trials.getOrDefault(cause.traits(), Trials.NONE);
        if (Math.max(before.count(), trialsSeen(cause, crashNanos)) >= MAXIMUM_TRIALS) {
            return false;
        }
        long interval = interval(cause, crashNanos).toNanos();
        List<Long> ordered = CrashMoments.ordered(crashNanos);
        boolean isDue = nowNanos - ordered.get(ordered.size() - 1) >= interval
                && (before.lastNanos().isEmpty()
                        || nowNanos - before.lastNanos().getAsLong() >= interval);
        if (isDue) {
            trials.put(cause.traits(), new Trials(before.count() + 1, OptionalLong.of(nowNanos)));
        }
        return isDue;
    }

    /** A request as a whole harms nobody else while it waits. */
    private static Duration interval(Cause cause, List<Long> crashNanos) {
        boolean isWholeRequest = cause.traits().stream().anyMatch(RequestTrait::isWholeRequest);
        return isWholeRequest || CrashMoments.areRepeated(crashNanos) ? RARE_INTERVAL : INTERVAL;
    }

    /** Takes back the last trial of a cause: no upstream received the request. The next one is due at once. */
    void takeBack(Cause cause) {
        trials.computeIfPresent(
                cause.traits(), (traits, begun) -> new Trials(Math.max(0, begun.count() - 1), OptionalLong.empty()));
    }

    /** Forgets the trials of causes with a trait that was served. */
    void recordServed(RequestTrait trait) {
        if (!trials.isEmpty()) {
            trials.keySet().removeIf(traits -> traits.contains(trait));
        }
    }

    /** Returns how many trials, of any node, have crashed upstreams since a cause is certain. */
    private static int trialsSeen(Cause cause, List<Long> crashNanos) {
        if (!cause.isCertain()) {
            return 0;
        }
        List<Long> ordered = CrashMoments.ordered(crashNanos);
        long certainNanos = ordered.get(CrashAttribution.CERTAIN_CRASHES - 1);
        List<Long> late = ordered.stream()
                .filter(crash -> crash - certainNanos > SPREAD_TIME.toNanos())
                .toList();
        return CrashMoments.of(late).size();
    }
}
