package org.galenahinge.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.galenahinge.quarantine.CrashAttribution.Cause;
import org.galenahinge.quarantine.RequestTrait.Kind;

/**
 * The crashes of upstreams that a node has seen or heard of, and the traits of requests that cause them. A request with such
 * a trait is in quarantine: it must not reach another upstream.
 *
 * <p>The belief that a trait crashes upstreams begins with the crashes that it explains. It ends when the trait is served, at
 * any node, in particular by one of a few {@link QuarantineTrials trials}, or an hour after the crashes. It outlasts everything
 * else: the return of the upstreams, changes of the configuration, and the restart of single nodes, which are told by the
 * others. A trait that was served shortly before a crash is not suspected of it, so that what all requests have in common
 * explains nothing when all upstreams end at once; nor is one that only some of those had that ended at one moment.
 *
 * <p>Its size does not depend on the number of requests: it holds a bounded number of crashes, and when a bounded number
 * of traits was last served. Not thread-safe.
 */
public final class CrashLedger {
    /** The maximum number of crashes that are held. */
    public static final int MAXIMUM_CRASHES = 64;

    private static final int MAXIMUM_SERVED_TRAITS = 1_024;

    /** Until a crash counts, requests that were there may be served by another upstream, which clears their traits. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(700);

    /**
     * How long before a crash a trait may have been served to be no suspect of it. What crashes upstreams crashes each one, so
     * that a trait that was served moments ago was only there at the time.
     */
    private static final Duration SERVED_BEFORE = Duration.ofSeconds(3);

    private static final Duration RETENTION = Duration.ofHours(1);

    /** How exact the time of a crash is that another node tells, so that both agree which of two is the older one. */
    private static final Duration TIME_TOLERANCE = Duration.ofSeconds(1);

    private final QuarantineTrials trials;
    private final Map<Long, KnownCrash> crashes = new LinkedHashMap<>();
    private final Map<Kind, Map<RequestTrait, Long>> servedNanos = servedByKind();
    private Map<Long, Set<RequestTrait>> suspects = Map.of();
    private List<Cause> causes = List.of();
    private Optional<Long> nextChangeNanos = Optional.empty();

    private CrashLedger(Predicate<RequestTrait> triedHere) {
        this.trials = QuarantineTrials.create(triedHere);
    }

    /**
     * Creates an empty ledger.
     *
     * @param triedHere whether this node is the one that may try a request with a doubtful cause, by the first of its traits
     * @return the ledger
     */
    public static CrashLedger create(Predicate<RequestTrait> triedHere) {
        return new CrashLedger(Objects.requireNonNull(triedHere, "triedHere"));
    }

    /** A crash, when it happened and when this node last learnt something new of it, both in nanoseconds. */
    record KnownCrash(Crash crash, long crashNanos, long changedNanos) {
        boolean isSettled(long nowNanos) {
            return nowNanos - settledNanos() >= 0;
        }

        long settledNanos() {
            return crashNanos + SETTLE_TIME.toNanos();
        }
    }

    /**
     * A crash as one node tells another.
     *
     * @param crash the crash
     * @param age how long ago it happened
     */
    public record AgedCrash(Crash crash, Duration age) {
        /** Rejects null components and a negative age. */
        public AgedCrash {
            Objects.requireNonNull(crash, "crash");
            if (age.isNegative()) {
                throw new IllegalArgumentException("age must not be negative: " + age);
            }
        }
    }

    /**
     * Adds what this or another node knows of a crash.
     *
     * @param reported the crash
     * @param nowNanos the time, in nanoseconds
     */
    public void add(AgedCrash reported, long nowNanos) {
        removeExpired(nowNanos);
        KnownCrash known = crashes.get(reported.crash().upstream());
        long crashNanos = nowNanos - reported.age().toNanos();
        if (known == null) {
            if (reported.age().compareTo(RETENTION) >= 0 || !makeRoomFor(crashNanos, nowNanos)) {
                return;
            }
            Crash crash = clearServed(reported.crash(), crashNanos);
            put(new KnownCrash(crash, crashNanos, nowNanos));
            return;
        }
        Crash merged = clearServed(known.crash().merge(reported.crash()), known.crashNanos());
        if (!merged.equals(known.crash())) {
            put(new KnownCrash(merged, known.crashNanos(), nowNanos));
        }
    }

    /**
     * Records that a request was served, so that its traits crash no upstream: the parts of its prompt once its upstream has
     * written for longer than a crash takes, the request as a whole once its response is complete.
     *
     * @param traits the traits
     * @param nowNanos the time, in nanoseconds
     */
    public void recordServed(Collection<RequestTrait> traits, long nowNanos) {
        for (RequestTrait trait : traits) {
            servedNanos.get(trait.kind()).put(trait, nowNanos);
            clear(trait, nowNanos);
            trials.recordServed(trait);
        }
    }

    /** Whether a request may be sent to an upstream. */
    public enum Decision {
        /** It contains no cause of crashes. */
        ALLOWED,
        /** It contains a cause, and this node has chosen it to find out whether it still crashes upstreams. */
        TRIAL,
        /** It must not be sent. */
        QUARANTINED
    }

    /**
     * Decides whether a request may be sent to an upstream.
     *
     * @param traits its traits
     * @param nowNanos the time, in nanoseconds
     * @return the decision; a trial counts as begun
     */
    public Decision decide(Collection<RequestTrait> traits, long nowNanos) {
        if (crashes.isEmpty() || traits.isEmpty()) {
            return Decision.ALLOWED;
        }
        List<Cause> contained = causes(nowNanos).stream()
                .filter(cause -> traits.containsAll(cause.traits()))
                .toList();
        if (contained.isEmpty()) {
            return Decision.ALLOWED;
        }
        boolean mayTry = contained.size() == 1 && beginTrial(contained.get(0), nowNanos);
        return mayTry ? Decision.TRIAL : Decision.QUARANTINED;
    }

    /**
     * Takes back a trial whose request was sent to no upstream, so that another one may take its place at once.
     *
     * @param traits the traits of the request
     * @param nowNanos the time, in nanoseconds
     */
    public void trialNotSent(Collection<RequestTrait> traits, long nowNanos) {
        causes(nowNanos).stream()
                .filter(cause -> traits.containsAll(cause.traits()))
                .forEach(trials::takeBack);
    }

    private boolean beginTrial(Cause cause, long nowNanos) {
        return trials.begin(cause, crashNanos(cause), nowNanos);
    }

    /** Returns when the crashes were that a cause explains. */
    private List<Long> crashNanos(Cause cause) {
        return crashes.values().stream()
                .filter(entry -> suspects(entry).containsAll(cause.traits()))
                .map(KnownCrash::crashNanos)
                .toList();
    }

    /**
     * Returns the traits that are in quarantine.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the sets of traits that no request may have all of
     */
    public List<Set<RequestTrait>> quarantined(long nowNanos) {
        return causes(nowNanos).stream().map(Cause::traits).toList();
    }

    /**
     * Returns the crashes of which this node has learnt something new.
     *
     * @param since how long ago at most
     * @param nowNanos the time, in nanoseconds
     * @return the crashes, those known for longest first
     */
    public List<AgedCrash> changedWithin(Duration since, long nowNanos) {
        removeExpired(nowNanos);
        List<AgedCrash> changed = new ArrayList<>();
        for (KnownCrash entry : crashes.values()) {
            if (nowNanos - entry.changedNanos() <= since.toNanos()) {
                changed.add(new AgedCrash(entry.crash(), Duration.ofNanos(nowNanos - entry.crashNanos())));
            }
        }
        return changed;
    }

    /**
     * Returns whether no crash is known.
     *
     * @return whether nothing can be in quarantine
     */
    public boolean isEmpty() {
        return crashes.isEmpty();
    }

    /**
     * Returns the number of crashes that are held.
     *
     * @return the number, at most {@link #MAXIMUM_CRASHES}
     */
    public int size() {
        return crashes.size();
    }

    /**
     * Returns all crashes.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the crashes, those known for longest first
     */
    public List<AgedCrash> all(long nowNanos) {
        return changedWithin(RETENTION, nowNanos);
    }

    private void clear(RequestTrait trait, long nowNanos) {
        for (KnownCrash entry : List.copyOf(crashes.values())) {
            boolean suspect = entry.crash().suspects().contains(trait)
                    && !entry.crash().cleared().contains(trait);
            if (suspect) {
                put(new KnownCrash(entry.crash().clear(trait), entry.crashNanos(), nowNanos));
            }
        }
    }

    private Crash clearServed(Crash crash, long crashNanos) {
        Crash cleared = crash;
        for (RequestTrait trait : crash.remaining()) {
            Long served = servedNanos.get(trait.kind()).get(trait);
            if (served != null && served - crashNanos > -SERVED_BEFORE.toNanos()) {
                cleared = cleared.clear(trait);
            }
        }
        return cleared;
    }

    private void put(KnownCrash entry) {
        crashes.put(entry.crash().upstream(), entry);
        nextChangeNanos = Optional.of(entry.changedNanos());
    }

    /**
     * Makes room for a crash by dropping an older one that no cause explains; those that it explains keep it in force. All
     * nodes keep the youngest ones, and of one moment those of which they heard first, so that they do not tell each other
     * without end of those that the others have dropped.
     */
    private boolean makeRoomFor(long crashNanos, long nowNanos) {
        if (crashes.size() < MAXIMUM_CRASHES) {
            return true;
        }
        Optional<KnownCrash> oldest = crashes.values().stream()
                .filter(entry -> crashNanos - entry.crashNanos() > TIME_TOLERANCE.toNanos())
                .filter(entry -> !isExplained(entry, nowNanos))
                .min((first, second) -> Long.signum(first.crashNanos() - second.crashNanos()));
        oldest.ifPresent(entry -> crashes.remove(entry.crash().upstream()));
        return oldest.isPresent();
    }

    private boolean isExplained(KnownCrash known, long nowNanos) {
        return causes(nowNanos).stream().anyMatch(cause -> suspects(known).containsAll(cause.traits()));
    }

    private void removeExpired(long nowNanos) {
        boolean removed = crashes.values().removeIf(entry -> nowNanos - entry.crashNanos() >= RETENTION.toNanos());
        if (removed) {
            nextChangeNanos = Optional.of(nowNanos);
        }
    }

    private List<Cause> causes(long nowNanos) {
        if (nextChangeNanos.isPresent() && nowNanos - nextChangeNanos.get() >= 0) {
            nextChangeNanos = crashes.values().stream()
                    .filter(entry -> !entry.isSettled(nowNanos))
                    .map(KnownCrash::settledNanos)
                    .min((first, second) -> Long.signum(first - second));
            suspects = CrashSuspects.of(crashes.values());
            causes = findCauses(nowNanos);
        }
        return causes;
    }

    /** Finds causes among crashes that have settled. What certainly crashes upstreams again and again does not wait for that. */
    private List<Cause> findCauses(long nowNanos) {
        List<Set<RequestTrait>> settled = crashes.values().stream()
                .filter(entry -> entry.isSettled(nowNanos))
                .map(this::suspects)
                .toList();
        List<Cause> found = new ArrayList<>(CrashAttribution.causes(settled));
        CrashAttribution.causes(suspects.values()).stream()
                .filter(Cause::isCertain)
                .filter(cause -> CrashMoments.areRepeated(crashNanos(cause)))
                .filter(cause ->
                        found.stream().noneMatch(known -> known.traits().equals(cause.traits())))
                .forEach(found::add);
        return List.copyOf(found);
    }

    private Set<RequestTrait> suspects(KnownCrash known) {
        return suspects.getOrDefault(known.crash().upstream(), Set.of());
    }

    /** Requests as wholes are far more numerous than parts and must not displace them. */
    private static Map<Kind, Map<RequestTrait, Long>> servedByKind() {
        Map<Kind, Map<RequestTrait, Long>> maps = new EnumMap<>(Kind.class);
        for (Kind kind : Kind.values()) {
            maps.put(kind, new BoundedMap<>(MAXIMUM_SERVED_TRAITS));
        }
        return maps;
    }
}
