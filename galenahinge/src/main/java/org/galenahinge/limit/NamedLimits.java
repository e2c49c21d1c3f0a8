package org.galenahinge.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.galenahinge.catalog.ColdStart;
import org.galenahinge.limit.TurnStarts.AgedStart;

/**
 * The limits of upstreams: how many requests a second one of them accepts from all nodes together. An upstream has a limit
 * because it names one in its responses, or because it is cold; if it has both, the lower one counts. The nodes take turns
 * by their positions, beginning when the limit was first known, so that each knows its own turns without asking. A turn
 * that is not used lapses.
 *
 * <p>The belief in a named limit begins with a response that names it, and ends with one that names none or after minutes
 * without any. Upstreams whose limit is zero are therefore still sent a request now and then.
 *
 * <p>Not thread-safe.
 */
public final class NamedLimits {
    private static final int MAXIMUM_UPSTREAMS = 4_096;
    /** How long a turn may be used, so that all nodes together do not save up more than this times the limit. */
    private static final Duration TURN_VALIDITY = Duration.ofMillis(1_500);

    /** Responses that were under way when the limit was first named do not lift it. */
    private static final Duration MINIMUM_TIME = Duration.ofSeconds(1);

    /**
     * How many requests a second all nodes together send at least, however low the limit: only a response says that it has
     * ended. It is within what an upstream must bear that has just named a limit.
     */
    private static final double MINIMUM_PER_SECOND = 0.5;

    /** Limits that nobody has heard of for so long are dropped, those of upstreams that are gone among them. */
    private static final Duration RETENTION = Duration.ofMinutes(5);

    /** A default start of turns lies before the cold time in which they are used. */
    private static final Duration START_BEFORE_END = ColdStart.MAXIMUM_DURATION.multipliedBy(2);

    private final Supplier<Position> position;
    private final Supplier<Optional<Position>> coldPosition;
    private final Map<Long, State> states = new HashMap<>();
    private final Map<Long, ColdPeriod> coldPeriods = new HashMap<>();
    private final TurnStarts coldStarts = new TurnStarts();

    private NamedLimits(Supplier<Position> position, Supplier<Optional<Position>> coldPosition) {
        this.position = position;
        this.coldPosition = coldPosition;
    }

    /**
     * Creates an empty set of limits.
     *
     * @param position returns the position of this node among those that send requests
     * @return the limits
     */
    public static NamedLimits create(Supplier<Position> position) {
        Objects.requireNonNull(position, "position");
        return create(position, () -> Optional.of(position.get()));
    }

    /**
     * Creates an empty set of limits.
     *
     * @param position returns the position of this node among those that send requests
     * @param coldPosition returns the position by which this node takes turns at cold upstreams, empty while it is not known
     *     well enough to send them anything
     * @return the limits
     */
    public static NamedLimits create(Supplier<Position> position, Supplier<Optional<Position>> coldPosition) {
        return new NamedLimits(
                Objects.requireNonNull(position, "position"), Objects.requireNonNull(coldPosition, "coldPosition"));
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
     * The time in which an upstream is cold.
     *
     * @param rate the turns there
     * @param firstTurnNanos turns that begin before are not used, in nanoseconds
     * @param endNanos when it ends, in nanoseconds
     */
    public record ColdPeriod(TurnRate rate, long firstTurnNanos, long endNanos) {
        /** Rejects null components. */
        public ColdPeriod {
            Objects.requireNonNull(rate, "rate");
        }

        /** Returns a start of the turns that does not change during the period, in nanoseconds. */
        private long startNanos() {
            return endNanos - START_BEFORE_END.toNanos();
        }

        private ColdPeriod used(long turnNanos) {
            long next = turnNanos + 1;
            return next - firstTurnNanos > 0 ? new ColdPeriod(rate, next, endNanos) : this;
        }
    }

    /** The turns that count at an upstream now, and the position of this node in them. */
    private record Turns(TurnSchedule schedule, Optional<Position> position, long usedNanos) {
        OptionalLong next(long nowNanos) {
            return position.isEmpty() ? OptionalLong.empty() : schedule.nextTurn(position.get(), usedNanos, nowNanos);
        }
    }

    /**
     * Returns whether no upstream has a limit.
     *
     * @return whether every request is allowed
     */
    public boolean isEmpty() {
        return states.isEmpty() && coldPeriods.isEmpty();
    }

    /**
     * Returns the number of named limits that are held, ended ones included.
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
     * Records that an upstream is cold. Replaces what was known of that; turns that were used stay used.
     *
     * @param upstream identifies the incarnation of the upstream
     * @param period the time in which it is cold
     * @param nowNanos the time, in nanoseconds
     */
    public void setCold(long upstream, ColdPeriod period, long nowNanos) {
        coldStarts.begin(upstream, nowNanos);
        ColdPeriod known = coldPeriods.get(upstream);
        coldPeriods.put(upstream, known == null ? period : period.used(known.firstTurnNanos() - 1));
    }

    /**
     * Records that an upstream is not cold, or is gone.
     *
     * @param upstream identifies the incarnation of the upstream
     */
    public void setWarm(long upstream) {
        coldPeriods.remove(upstream);
    }

    /**
     * Returns whether an upstream is cold.
     *
     * @param upstream identifies the incarnation of the upstream
     * @param nowNanos the time, in nanoseconds
     * @return whether its cold period has not ended
     */
    public boolean isCold(long upstream, long nowNanos) {
        return coldPeriod(upstream, nowNanos).isPresent();
    }

    /**
     * Adds when another node began to take turns at a cold upstream.
     *
     * @param told the start
     * @param nowNanos the time, in nanoseconds
     */
    public void addColdStart(AgedStart told, long nowNanos) {
        coldStarts.add(told, nowNanos);
    }

    /**
     * Returns when turns at cold upstreams began, as far as this node has learnt something new.
     *
     * @param since how long ago at most
     * @param nowNanos the time, in nanoseconds
     * @return the starts, a bounded number
     */
    public List<AgedStart> coldStartsChangedWithin(Duration since, long nowNanos) {
        return coldStarts.changedWithin(since, nowNanos);
    }

    /**
     * Returns when turns at cold upstreams began.
     *
     * @param nowNanos the time, in nanoseconds
     * @return all starts
     */
    public List<AgedStart> allColdStarts(long nowNanos) {
        return coldStarts.all(nowNanos);
    }

    /**
     * Returns whether this node may send a request to an upstream now.
     *
     * @param upstream identifies the incarnation of the upstream
     * @param nowNanos the time, in nanoseconds
     * @return whether the upstream has no limit or this node has a turn
     */
    public boolean allows(long upstream, long nowNanos) {
        return turns(upstream, nowNanos)
                .map(turns -> turns.next(nowNanos).isPresent())
                .orElse(true);
    }

    /**
     * Records that this node sends a request to an upstream, which uses a turn.
     *
     * @param upstream identifies the incarnation of the upstream
     * @param nowNanos the time, in nanoseconds
     * @return when the turn lapses, in nanoseconds; empty if there was no limit or no turn
     */
    public OptionalLong recordSent(long upstream, long nowNanos) {
        Optional<Turns> turns = turns(upstream, nowNanos);
        OptionalLong turn = turns.map(known -> known.next(nowNanos)).orElse(OptionalLong.empty());
        if (turn.isEmpty()) {
            return turn;
        }
        long turnNanos = turn.getAsLong();
        states.computeIfPresent(upstream, (key, known) -> known.used(turnNanos));
        ColdPeriod cold = coldPeriods.computeIfPresent(upstream, (key, known) -> known.used(turnNanos));
        if (cold != null) {
            coldStarts.begin(upstream, nowNanos);
        }
        return OptionalLong.of(turns.get().schedule().lapseNanos(turnNanos));
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

    private Optional<Turns> turns(long upstream, long nowNanos) {
        Optional<State> named = Optional.ofNullable(states.get(upstream)).filter(State::isNamed);
        Optional<ColdPeriod> cold = coldPeriod(upstream, nowNanos);
        if (cold.isEmpty()) {
            return named.map(known ->
                    new Turns(schedule(known, namedRate(known)), Optional.of(position.get()), known.lastTurnNanos()));
        }
        TurnRate rate = named.map(known -> namedRate(known).lower(cold.get().rate()))
                .orElse(cold.get().rate());
        boolean namedCounts =
                named.isPresent() && rate.perSecond() < cold.get().rate().perSecond();
        TurnSchedule schedule = namedCounts
                ? schedule(named.get(), rate)
                : new TurnSchedule(
                        rate, coldStarts.startNanos(upstream, cold.get().startNanos()));
        return Optional.of(new Turns(schedule, coldPosition.get(), cold.get().firstTurnNanos() - 1));
    }

    private Optional<ColdPeriod> coldPeriod(long upstream, long nowNanos) {
        return Optional.ofNullable(coldPeriods.get(upstream)).filter(period -> nowNanos - period.endNanos() < 0);
    }

    private static TurnRate namedRate(State named) {
        double perSecond = named.perSecond().orElse(0);
        return new TurnRate(Math.max(perSecond, MINIMUM_PER_SECOND), TURN_VALIDITY);
    }

    private static TurnSchedule schedule(State named, TurnRate rate) {
        return new TurnSchedule(rate, named.firstNamedNanos());
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
