package org.galenahinge.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.function.Supplier;

/**
 * The limits that upstreams name: how many requests a second one of them accepts from all nodes together. The nodes take turns
 * by their positions, beginning when the limit was first named, so that each knows its own turns without asking. A turn
 * that is not used lapses.
 *
 * <p>Not thread-safe.
 */
public final class NamedLimits {
    private static final int MAXIMUM_UPSTREAMS = 4_096;
    private static final double NANOS_PER_SECOND = 1e9;

    /** A turn that was used counts as used although its time was rounded to nanoseconds; in turns. */
    private static final double ROUNDING = 1e-6;

    /** How long a turn may be used, so that all nodes together do not save up more than this times the limit. */
    private static final Duration TURN_VALIDITY = Duration.ofMillis(1_500);

    /** Responses that were under way when the limit was first named do not lift it. */
    private static final Duration MINIMUM_TIME = Duration.ofSeconds(1);

    /** Limits that nobody has heard of for so long are dropped, those of upstreams that are gone among them. */
    private static final Duration RETENTION = Duration.ofMinutes(5);

    private final Supplier<Position> position;
    private final Map<Long, State> states = new HashMap<>();

    private NamedLimits(Supplier<Position> position) {
        this.position = position;
    }

    /**
     * Creates an empty set of limits.
     *
     * @param position returns the position of this node among those that send requests
     * @return the limits
     */
    public static NamedLimits create(Supplier<Position> position) {
        return new NamedLimits(Objects.requireNonNull(position, "position"));
    }

    /**
     * The position of a node among those that send requests to an upstream.
     *
     * @param index the position, from 0
     * @param nodes the number of nodes
     */
    public record Position(int index, int nodes) {
        /** Rejects a position out of range. */
        public Position {
            if (index < 0 || index >= nodes) {
                throw new IllegalArgumentException("index " + index + " of " + nodes + " nodes");
            }
        }
    }

    /**
     * A limit as one node tells another. Of two for the same upstream, the one with the higher revision is newer.
     *
     * @param upstream identifies the incarnation of the upstream
     * @param revision how often it changed
     * @param perSecond the limit in requests a second, empty if the upstream no longer names one
     * @param age how long ago the upstream first named a limit
     * @param sinceNamed how long ago it last named one
     */
    public record AgedLimit(long upstream, long revision, OptionalDouble perSecond, Duration age, Duration sinceNamed) {
        /** Rejects null components and values out of range. */
        public AgedLimit {
            Objects.requireNonNull(perSecond, "perSecond");
            Objects.requireNonNull(age, "age");
            Objects.requireNonNull(sinceNamed, "sinceNamed");
            double value = perSecond.orElse(0);
            if (!(value >= 0) || Double.isInfinite(value) || age.isNegative() || sinceNamed.isNegative()) {
                throw new IllegalArgumentException("limit and age must not be negative: " + value + ", " + age);
            }
        }
    }

    private record State(
            long revision,
            OptionalDouble perSecond,
            long firstNamedNanos,
            long lastNamedNanos,
            long changedNanos,
            long lastTurnNanos) {
        boolean isNamed() {
            return perSecond.isPresent();
        }

        /** The earliest first naming counts, so that all nodes compute the same turns, and the latest last one. */
        State seen(long firstNanos, long lastNanos) {
            long first = firstNanos - firstNamedNanos < 0 ? firstNanos : firstNamedNanos;
            long last = lastNanos - lastNamedNanos > 0 ? lastNanos : lastNamedNanos;
            return new State(revision, perSecond, first, last, changedNanos, lastTurnNanos);
        }

        State used(long turnNanos) {
            return new State(revision, perSecond, firstNamedNanos, lastNamedNanos, changedNanos, turnNanos);
        }
    }

    /**
     * Returns whether no upstream has named a limit.
     *
     * @return whether every request is allowed
     */
    public boolean isEmpty() {
        return states.isEmpty();
    }

    /**
     * Returns the number of limits that are held, ended ones included.
     *
     * @return the number, which is bounded
     */
    public int size() {
        return states.size();
    }

    /**
     * Records whether a response of an upstream named a limit.
     *
     * @param upstream identifies the incarnation of the upstream
     * @param perSecond the limit in requests a second, empty if the response named none
     * @param nowNanos the time, in nanoseconds
     */
    public void recordResponse(long upstream, OptionalDouble perSecond, long nowNanos) {
        State known = states.get(upstream);
        if (known == null) {
            if (perSecond.isPresent()) {
                put(upstream, new State(1, perSecond, nowNanos, nowNanos, nowNanos, nowNanos));
            }
            return;
        }
        if (known.perSecond().equals(perSecond)) {
            states.put(upstream, known.seen(known.firstNamedNanos(), nowNanos));
            return;
        }
        boolean ends = perSecond.isEmpty();
        if (ends && nowNanos - known.lastNamedNanos() < MINIMUM_TIME.toNanos()) {
            return;
        }
        long firstNamed = known.isNamed() ? known.firstNamedNanos() : nowNanos;
        put(
                upstream,
                new State(known.revision() + 1, perSecond, firstNamed, nowNanos, nowNanos, known.lastTurnNanos()));
    }

    /**
     * Adds what another node knows. Of two limits with the same revision the lower one counts.
     *
     * @param told the limit
     * @param nowNanos the time, in nanoseconds
     */
    public void add(AgedLimit told, long nowNanos) {
        State known = states.get(told.upstream());
        long firstNamed = nowNanos - told.age().toNanos();
        long lastNamed = nowNanos - told.sinceNamed().toNanos();
        boolean isNewer = known == null
                || told.revision() > known.revision()
                || (told.revision() == known.revision() && isLower(told.perSecond(), known.perSecond()));
        if (isNewer) {
            long lastTurn = known == null ? nowNanos : known.lastTurnNanos();
            put(
                    told.upstream(),
                    new State(told.revision(), told.perSecond(), firstNamed, lastNamed, nowNanos, lastTurn));
        } else if (told.revision() == known.revision() && told.perSecond().equals(known.perSecond())) {
            states.put(told.upstream(), known.seen(firstNamed, lastNamed));
        }
    }

    /**
     * Returns whether this node may send a request to an upstream now.
     *
     * @param upstream identifies the incarnation of the upstream
     * @param nowNanos the time, in nanoseconds
     * @return whether the upstream names no limit or this node has a turn
     */
    public boolean allows(long upstream, long nowNanos) {
        State known = states.get(upstream);
        return known == null || !known.isNamed() || nextTurn(known, nowNanos).isPresent();
    }

    /**
     * Records that this node sent a request to an upstream, which uses a turn.
     *
     * @param upstream identifies the incarnation of the upstream
     * @param nowNanos the time, in nanoseconds
     */
    public void recordSent(long upstream, long nowNanos) {
        State known = states.get(upstream);
        if (known == null || !known.isNamed()) {
            return;
        }
        nextTurn(known, nowNanos).ifPresent(turn -> {
            long turnNanos = known.firstNamedNanos() + (long) (turn * NANOS_PER_SECOND);
            states.put(upstream, known.used(turnNanos));
        });
    }

    /**
     * Returns the limits of which this node has learnt something new.
     *
     * @param since how long ago at most
     * @param nowNanos the time, in nanoseconds
     * @return the limits, ended ones included
     */
    public List<AgedLimit> changedWithin(Duration since, long nowNanos) {
        List<AgedLimit> changed = new ArrayList<>();
        for (Iterator<Map.Entry<Long, State>> all = states.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<Long, State> next = all.next();
            State state = next.getValue();
            if (nowNanos - state.lastNamedNanos() >= RETENTION.toNanos()) {
                all.remove();
            } else if (nowNanos - state.changedNanos() <= since.toNanos()) {
                changed.add(new AgedLimit(
                        next.getKey(),
                        state.revision(),
                        state.perSecond(),
                        Duration.ofNanos(nowNanos - state.firstNamedNanos()),
                        Duration.ofNanos(nowNanos - state.lastNamedNanos())));
            }
        }
        return changed;
    }

    /**
     * Returns all limits.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the limits, ended ones included
     */
    public List<AgedLimit> all(long nowNanos) {
        return changedWithin(Duration.ofDays(1), nowNanos);
    }

    /**
     * Returns the next turn of this node that has begun, has not lapsed and is not used.
     *
     * @return when it began, in seconds after the limit was first named; empty if there is no such turn
     */
    private OptionalDouble nextTurn(State known, long nowNanos) {
        double limit = known.perSecond().orElse(0);
        if (limit <= 0) {
            return OptionalDouble.empty();
        }
        Position own = position.get();
        double interval = own.nodes() / limit;
        double first = own.index() / limit;
        double now = (nowNanos - known.firstNamedNanos()) / NANOS_PER_SECOND;
        double used = (known.lastTurnNanos() - known.firstNamedNanos()) / NANOS_PER_SECOND;
        double lapsed = Math.max(now - TURN_VALIDITY.toNanos() / NANOS_PER_SECOND, used);
        double number = Math.max(0, Math.floor((lapsed - first) / interval + ROUNDING) + 1);
        double turn = first + number * interval;
        return turn <= now ? OptionalDouble.of(turn) : OptionalDouble.empty();
    }

    private void put(long upstream, State state) {
        if (states.containsKey(upstream) || states.size() < MAXIMUM_UPSTREAMS) {
            states.put(upstream, state);
        }
    }

    private static boolean isLower(OptionalDouble first, OptionalDouble second) {
        return first.orElse(Double.POSITIVE_INFINITY) < second.orElse(Double.POSITIVE_INFINITY);
    }
}
