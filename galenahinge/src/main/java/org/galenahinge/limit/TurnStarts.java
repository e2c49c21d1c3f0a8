package org.galenahinge.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * When the turns at upstreams that are or were cold began. The earliest start that any node knows counts, so that all nodes
 * compute the same turns. A start remains valid when the upstream becomes cold again. Not thread-safe.
 */
public final class TurnStarts {
    private static final int MAXIMUM_UPSTREAMS = 16_384;

    /** Bounds the datagrams of one round of gossip when many upstreams become cold at once. */
    private static final int MAXIMUM_NEWS = 256;

    /** Starts that nobody has used for so long are dropped. */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private final Map<Long, Start> starts = new HashMap<>();

    /**
     * A start as one node tells another.
     *
     * @param upstream identifies the incarnation of the upstream
     * @param age how long ago the turns began
     * @param sinceUsed how long ago a node last knew that the upstream was cold
     */
    public record AgedStart(long upstream, Duration age, Duration sinceUsed) {
        /** Rejects negative times. */
        public AgedStart {
            Objects.requireNonNull(age, "age");
            Objects.requireNonNull(sinceUsed, "sinceUsed");
            if (age.isNegative() || sinceUsed.isNegative()) {
                throw new IllegalArgumentException("times must not be negative: " + age + ", " + sinceUsed);
            }
        }
    }

    private record Start(long startNanos, long changedNanos, long usedNanos) {
        Start used(long nanos) {
            return new Start(startNanos, changedNanos, nanos - usedNanos > 0 ? nanos : usedNanos);
        }

        boolean isUnused(long nowNanos) {
            return nowNanos - usedNanos >= RETENTION.toNanos();
        }
    }

    /** Records that turns are taken at an upstream from now on; an earlier start that is known remains. */
    void begin(long upstream, long nowNanos) {
        Start known = starts.get(upstream);
        if (known != null) {
            starts.put(upstream, known.used(nowNanos));
        } else if (starts.size() < MAXIMUM_UPSTREAMS) {
            starts.put(upstream, new Start(nowNanos, nowNanos, nowNanos));
        }
    }

    /** Adds what another node knows. */
    void add(AgedStart told, long nowNanos) {
        Start known = starts.get(told.upstream());
        Start added = new Start(
                nowNanos - told.age().toNanos(),
                nowNanos,
                nowNanos - told.sinceUsed().toNanos());
        if (added.isUnused(nowNanos)) {
            return;
        }
        if (known == null) {
            if (starts.size() < MAXIMUM_UPSTREAMS) {
                starts.put(told.upstream(), added);
            }
            return;
        }
        Start earlier = added.startNanos() - known.startNanos() < 0 ? added : known;
        starts.put(told.upstream(), earlier.used(added.usedNanos()).used(known.usedNanos()));
    }

    /** Returns when the turns at an upstream began, in nanoseconds; the default if that is not known. */
    long startNanos(long upstream, long defaultNanos) {
        Start known = starts.get(upstream);
        return known == null ? defaultNanos : known.startNanos();
    }

    /** Returns the starts of which this node has learnt lately, and drops those that are not used any more. */
    List<AgedStart> changedWithin(Duration since, long nowNanos) {
        starts.values().removeIf(start -> start.isUnused(nowNanos));
        return starts.entrySet().stream()
                .filter(known -> nowNanos - known.getValue().changedNanos() <= since.toNanos())
                .limit(MAXIMUM_NEWS)
                .map(known -> aged(known.getKey(), known.getValue(), nowNanos))
                .toList();
    }

    /** Returns all starts. */
    List<AgedStart> all(long nowNanos) {
        return starts.entrySet().stream()
                .map(known -> aged(known.getKey(), known.getValue(), nowNanos))
                .toList();
    }

    private static AgedStart aged(long upstream, Start start, long nowNanos) {
        return new AgedStart(
                upstream,
                Duration.ofNanos(nowNanos - start.startNanos()),
                Duration.ofNanos(nowNanos - start.usedNanos()));
    }
}
