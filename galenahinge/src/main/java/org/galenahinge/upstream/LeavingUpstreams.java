package org.galenahinge.upstream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The incarnations of upstreams that have said in a response that they leave, to this node or to another one. An incarnation
 * does not take it back. It is held for as long as the incarnation is known, and for a time before and after.
 *
 * <p>Not thread-safe.
 */
public final class LeavingUpstreams {
    /** Bounds the incarnations that are held although they are not known. */
    private static final int MAXIMUM_INCARNATIONS = 4_096;

    /** How long an incarnation that is not known is held after it said so: longer than its record can be late. */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private final Supplier<Set<Long>> known;
    private final Map<Long, State> states = new HashMap<>();

    private LeavingUpstreams(Supplier<Set<Long>> known) {
        this.known = known;
    }

    /**
     * Creates an empty set.
     *
     * @param known returns the incarnations whose records are known
     * @return the set
     */
    public static LeavingUpstreams create(Supplier<Set<Long>> known) {
        return new LeavingUpstreams(Objects.requireNonNull(known, "known"));
    }

    /** How a node learns that an upstream leaves. */
    public enum Source {
        /** The upstream's record says so. */
        RECORD,
        /** The upstream said so in a response to this node. */
        RESPONSE,
        /** Another node has told that the upstream said so. */
        GOSSIP
    }

    /** What became of an addition. */
    public enum Addition {
        /** The incarnation was added. */
        ADDED,
        /** It was there already. */
        PRESENT,
        /** It is not known, and said so too long ago. */
        EXPIRED,
        /** It is not known, and too many others are held. */
        FULL
    }

    /**
     * An incarnation that leaves, as one node tells another.
     *
     * @param incarnation identifies it, see {@link Upstream#incarnationKey()}
     * @param age how long ago it first said so
     */
    public record AgedIncarnation(long incarnation, Duration age) {
        /** Rejects a negative age. */
        public AgedIncarnation {
            if (age.isNegative()) {
                throw new IllegalArgumentException("age must not be negative: " + age);
            }
        }
    }

    private record State(long saidNanos, long learntNanos) {
        /** The earliest time counts, so that all nodes forget it together. */
        State said(long nanos) {
            return nanos - saidNanos < 0 ? new State(nanos, learntNanos) : this;
        }
    }

    /**
     * Returns whether an incarnation said that it leaves.
     *
     * @param incarnation identifies it
     * @return whether it did
     */
    public boolean contains(long incarnation) {
        return states.containsKey(incarnation);
    }

    /**
     * Returns how many incarnations are held.
     *
     * @return the number, which is bounded
     */
    public int size() {
        return states.size();
    }

    /**
     * Adds an incarnation.
     *
     * @param told the incarnation, and how long ago it said so
     * @param nowNanos the time, in nanoseconds
     * @return what became of it
     */
    public Addition add(AgedIncarnation told, long nowNanos) {
        Duration age = told.age().compareTo(RETENTION) < 0 ? told.age() : RETENTION;
        long said = nowNanos - age.toNanos();
        State present = states.get(told.incarnation());
        if (present != null) {
            states.put(told.incarnation(), present.said(said));
            return Addition.PRESENT;
        }
        removeExpired(nowNanos);
        boolean isKnown = known.get().contains(told.incarnation());
        if (!isKnown && isExpired(said, nowNanos)) {
            return Addition.EXPIRED;
        }
        if (!isKnown && states.size() >= MAXIMUM_INCARNATIONS) {
            return Addition.FULL;
        }
        states.put(told.incarnation(), new State(said, nowNanos));
        return Addition.ADDED;
    }

    /**
     * Returns the incarnations that this node has learnt of lately.
     *
     * @param since how long ago at most
     * @param nowNanos the time, in nanoseconds
     * @return the incarnations
     */
    public List<AgedIncarnation> learntWithin(Duration since, long nowNanos) {
        List<AgedIncarnation> learnt = new ArrayList<>();
        states.forEach((incarnation, state) -> {
            if (nowNanos - state.learntNanos() <= since.toNanos()) {
                learnt.add(aged(incarnation, state, nowNanos));
            }
        });
        return learnt;
    }

    /**
     * Returns all incarnations that are held.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the incarnations
     */
    public List<AgedIncarnation> all(long nowNanos) {
        removeExpired(nowNanos);
        List<AgedIncarnation> all = new ArrayList<>(states.size());
        states.forEach((incarnation, state) -> all.add(aged(incarnation, state, nowNanos)));
        return all;
    }

    private void removeExpired(long nowNanos) {
        if (states.values().stream().noneMatch(state -> isExpired(state.saidNanos(), nowNanos))) {
            return;
        }
        Set<Long> present = known.get();
        states.entrySet()
                .removeIf(entry ->
                        isExpired(entry.getValue().saidNanos(), nowNanos) && !present.contains(entry.getKey()));
    }

    private static boolean isExpired(long saidNanos, long nowNanos) {
        return nowNanos - saidNanos >= RETENTION.toNanos();
    }

    private static AgedIncarnation aged(long incarnation, State state, long nowNanos) {
        return new AgedIncarnation(incarnation, Duration.ofNanos(nowNanos - state.saidNanos()));
    }
}
