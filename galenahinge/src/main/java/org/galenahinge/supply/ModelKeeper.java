package org.galenahinge.supply;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.supply.EngineControl.EngineReport;
import org.galenahinge.supply.EngineControl.OrderResult;
import org.galenahinge.upstream.WeightsVersion;

/**
 * Brings one engine to the weights that it is to hold: lays the chunks beside it, reads every one back, and orders the
 * engine only when all agree with their digests. Belongs to one thread.
 *
 * <p>What lies beside the engine may rot at any time, so chunks are read back again when the order has to wait.
 */
public final class ModelKeeper {
    private static final Duration VERIFIED_FOR = Duration.ofMillis(1_200);
    private static final Duration RESERVE = Duration.ofMillis(1_400);
    private static final Duration ORDER_EFFECT_WITHIN = Duration.ofSeconds(2);
    private static final Duration QUIESCE = Duration.ofMillis(100);

    private final EngineControl engine;
    private final ChunkPass.Means chunks;
    private final Timers timers;
    private final EventLog log;
    private final Duration versionWithin;
    private Consumer<EngineReport> loadingBegins = state -> {};
    private Optional<WeightsDigests> wanted = Optional.empty();
    private long wantedSinceNanos;
    private long newestNamed;
    private LoadPlan plan = LoadPlan.UNKNOWN;
    private long planNanos;
    private Optional<Long> turnNanos = Optional.empty();
    private Optional<EngineReport> report = Optional.empty();
    private Optional<ChunkPass> pass = Optional.empty();
    private boolean loading;
    private Optional<WeightsVersion> ordered = Optional.empty();
    private long orderedNanos;
    private long passBornMillis;

    private ModelKeeper(
            EngineControl engine,
            Function<Integer, Optional<WeightsSource>> sources,
            Duration versionWithin,
            Timers timers,
            EventLog log,
            MetricRegistry metrics) {
        this.engine = engine;
        this.versionWithin = versionWithin;
        this.timers = timers;
        this.log = log;
        this.chunks = new ChunkPass.Means(
                engine,
                sources,
                timers,
                log,
                metrics.counter("weights.chunks.fetched"),
                metrics.counter("weights.chunks.spoilt"));
    }

    /**
     * Creates a keeper that wants nothing yet.
     *
     * @param engine the engine on the own VM
     * @param sources names where chunks come from, by how many reads in a row have failed
     * @param versionWithin from the naming of a version until all requests must begin on it
     * @param timers the clock
     * @param log where decisions are written
     * @param metrics where chunks are counted
     * @return the keeper
     */
    public static ModelKeeper create(
            EngineControl engine,
            Function<Integer, Optional<WeightsSource>> sources,
            Duration versionWithin,
            Timers timers,
            EventLog log,
            MetricRegistry metrics) {
        return new ModelKeeper(
                Objects.requireNonNull(engine, "engine"),
                Objects.requireNonNull(sources, "sources"),
                Objects.requireNonNull(versionWithin, "versionWithin"),
                Objects.requireNonNull(timers, "timers"),
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Sets what runs just before the engine is ordered to load, so that it gets no new requests.
     *
     * @param action takes the engine's last known state
     */
    public void onLoading(Consumer<EngineReport> action) {
        loadingBegins = Objects.requireNonNull(action, "action");
    }

    /**
     * Takes in what the engine is to hold. Word from an entry that has not heard of the newest version yet is left out;
     * one that has may name an older version again, when the newest cannot be had for now.
     *
     * @param digests the version and its digests
     * @param age how long ago it was named
     * @param newPlan when engines that work are to stop for loading
     */
    public void want(WeightsDigests digests, Duration age, LoadPlan newPlan) {
        long named = Math.max(newPlan.newest(), digests.weights().version());
        if (named < newestNamed) {
            return;
        }
        newestNamed = named;
        plan = newPlan;
        planNanos = timers.nanoTime();
        long known = wantedVersion();
        boolean held = report.filter(state -> holds(state, digests.weights())).isPresent();
        if (digests.weights().version() == known || (held && digests.weights().version() < known)) {
            return;
        }
        wanted = Optional.of(digests);
        wantedSinceNanos = timers.nanoTime() - age.toNanos();
        turnNanos = Optional.empty();
        log.event(Category.BELIEF, "weights_wanted")
                .with("model", digests.weights().model())
                .with("version", digests.weights().version())
                .with("before", known)
                .with("age_ms", age.toMillis())
                .write();
        act();
    }

    /**
     * Returns the version wanted.
     *
     * @return its number, 0 for none
     */
    public long wantedVersion() {
        return wanted.map(held -> held.weights().version()).orElse(0L);
    }

    /**
     * Takes in the engine's state.
     *
     * @param newReport the state
     */
    public void reported(EngineReport newReport) {
        boolean reborn = report.filter(before -> before.bornMillis() != newReport.bornMillis())
                .isPresent();
        if (reborn) {
            log.event(Category.BELIEF, "engine_reborn")
                    .with("born", newReport.bornMillis())
                    .write();
            pass = Optional.empty();
            loading = false;
            ordered = Optional.empty();
        }
        report = Optional.of(newReport);
        if (loading && ordered.filter(weights -> holds(newReport, weights)).isPresent()) {
            loading = false;
            log.event(Category.BELIEF, "weights_in_use")
                    .with("version", ordered.get().version())
                    .with("after_ms", millisSince(wantedSinceNanos))
                    .write();
        } else if (loading && ordered.isPresent() && hasComeToNothing(newReport)) {
            loading = false;
            log.event(Category.FAILURE, "order_without_effect")
                    .with("version", ordered.get().version())
                    .write();
        }
        act();
    }

    /** An engine that is neither busy nor at the version some time after the order has dropped it. */
    private boolean hasComeToNothing(EngineReport state) {
        return !state.busy() && timers.nanoTime() - orderedNanos > ORDER_EFFECT_WITHIN.toNanos();
    }

    /**
     * Tells whether the engine is about to load, or loads.
     *
     * @return whether it should get no new requests
     */
    public boolean isLoading() {
        return loading || report.filter(EngineReport::busy).isPresent();
    }

    /**
     * Returns how long until the engine is to stop for loading.
     *
     * @return the time, zero when its turn has come, or empty when it is not to load or its turn is not known
     */
    public Optional<Duration> untilLoad() {
        if (isLoading() || report.filter(state -> !isSatisfied(state)).isEmpty()) {
            return Optional.empty();
        }
        long now = timers.nanoTime();
        return turnNanos.map(turn -> Duration.ofNanos(Math.max(0, turn - now)));
    }

    private boolean isSatisfied(EngineReport state) {
        return wanted.isEmpty() || holds(state, wanted.get().weights());
    }

    private static boolean holds(EngineReport state, WeightsVersion weights) {
        return state.weights()
                .filter(held -> held.model().equals(weights.model()))
                .filter(held -> held.version() >= weights.version())
                .isPresent();
    }

    private void act() {
        if (wanted.isEmpty()
                || report.isEmpty()
                || isSatisfied(report.get())
                || report.get().busy()
                || loading) {
            return;
        }
        boolean current =
                pass.filter(known -> known.digests().equals(wanted.get())).isPresent();
        if (current) {
            return;
        }
        begin();
    }

    private void begin() {
        passBornMillis = report.orElseThrow().bornMillis();
        ChunkPass next = new ChunkPass(wanted.orElseThrow(), chunks, this::isCurrent, this::passed);
        pass = Optional.of(next);
        next.begin();
    }

    private boolean isCurrent(ChunkPass one) {
        return pass.filter(known -> known == one).isPresent()
                && wanted.filter(known -> known.equals(one.digests())).isPresent();
    }

    /** All chunks agreed when they were read or laid; what was fetched in this pass is read back before it counts. */
    private void passed(ChunkPass one) {
        if (one.fetched() > 0 || one.took().compareTo(VERIFIED_FOR) > 0) {
            log.event(Category.BELIEF, "weights_staged")
                    .with("version", one.digests().weights().version())
                    .with("fetched", one.fetched())
                    .with("after_ms", millisSince(wantedSinceNanos))
                    .write();
            awaitTurn(this::begin);
            return;
        }
        awaitTurn(() -> order(one));
    }

    /** An engine without weights loads at once; one that works goes on until its turn, then reads its chunks back. */
    private void awaitTurn(Runnable action) {
        long now = timers.nanoTime();
        if (turnNanos.isEmpty()) {
            turnNanos = Optional.of(now + untilTurn().toNanos());
        }
        long left = turnNanos.get() - now;
        if (left <= 0) {
            action.run();
            return;
        }
        timers.schedule(Duration.ofNanos(left), this::begin);
    }

    private Duration untilTurn() {
        Duration sinceHeard = Duration.ofNanos(timers.nanoTime() - planNanos);
        return report.flatMap(EngineReport::weights)
                .map(held -> plan.untilTurn(held.version(), sinceHeard, versionWithin, RESERVE))
                .orElse(Duration.ZERO);
    }

    private void order(ChunkPass one) {
        if (!isCurrent(one)) {
            return;
        }
        loading = true;
        ordered = Optional.empty();
        loadingBegins.accept(report.orElseThrow());
        timers.schedule(QUIESCE, () -> orderNow(one));
    }

    private void orderNow(ChunkPass one) {
        if (!isCurrent(one) || report.isEmpty() || report.get().bornMillis() != passBornMillis) {
            loading = false;
            pass = Optional.empty();
            return;
        }
        WeightsVersion weights = one.digests().weights();
        long expected = report.get().orders();
        ordered = Optional.of(weights);
        orderedNanos = timers.nanoTime();
        engine.load(weights, expected).whenComplete((result, error) -> {
            pass = Optional.empty();
            boolean taken = error == null && (result == OrderResult.BEGUN || result == OrderResult.IN_EFFECT);
            // An order without an answer may have been taken: the next report tells.
            loading = taken;
            log.event(taken ? Category.BELIEF : Category.FAILURE, "engine_ordered")
                    .with("version", weights.version())
                    .with("expected_orders", expected)
                    .with("result", error == null ? result.name() : String.valueOf(error.getMessage()))
                    .with("after_ms", millisSince(wantedSinceNanos))
                    .write();
        });
    }

    private long millisSince(long nanos) {
        return Duration.ofNanos(timers.nanoTime() - nanos).toMillis();
    }
}
