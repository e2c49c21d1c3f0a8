package org.galenahinge.supply;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.supply.EngineControl.EngineReport;
import org.galenahinge.supply.EngineControl.LoadResult;
import org.galenahinge.upstream.VersionAges.AgedVersion;
import org.galenahinge.upstream.WeightsVersion;

/**
 * Brings one engine to its target version of weights: stages the chunks, reads every one back, and sends the load
 * command only if all match their digests. Belongs to one thread.
 *
 * <p>Staged chunks may become corrupt at any time, so they are read back again if the load command has to wait, or if
 * the process or its VM was suspended before the command was written.
 *
 * <p>A load command without a response is unresolved: the engine may still accept it, and loads what is staged at that moment.
 * Until the engine's reports count it, another command took its place, or the engine has ended, only the version of that
 * command is staged, and the command is sent again. The engine accepts only one of the two, since both expect the same number of
 * commands before them.
 */
public final class EngineWeightsController {
    private static final Duration VERIFICATION_VALID_FOR = Duration.ofMillis(1_200);
    private static final Duration LOAD_EFFECT_TIMEOUT = Duration.ofSeconds(2);
    /** The time between announcing the load and sending the command, in which entries stop sending new requests. */
    private static final Duration QUIESCE_DELAY = Duration.ofMillis(100);
    /** The time for the command to be written once it is due, and for timers that run late. */
    private static final Duration COMMAND_RESERVE = Duration.ofMillis(500);

    private static final Duration COMMAND_VALID_FOR =
            VERIFICATION_VALID_FOR.plus(QUIESCE_DELAY).plus(COMMAND_RESERVE);

    private final EngineControl engine;
    private final ChunkStaging.Resources stagingResources;
    private final Timers timers;
    private final EventLog log;
    private final VersionRollout rollout;
    private Consumer<EngineReport> beforeLoad = report -> {};
    private Optional<WeightsDigests> target = Optional.empty();
    private long targetSetNanos;
    private Optional<Long> loadAtNanos = Optional.empty();
    private Optional<Long> awaitedLoadNanos = Optional.empty();
    private Optional<EngineReport> report = Optional.empty();
    private Optional<ChunkStaging> staging = Optional.empty();
    private long stagingIncarnation;
    private ManifestDoubt doubt = new ManifestDoubt();
    private boolean loading;
    private Optional<WeightsVersion> commanded = Optional.empty();
    private Optional<UnresolvedCommand> unresolved = Optional.empty();
    private long commandedNanos;
    private long announcedNanos;

    /** A load command that the engine may have accepted, or may still accept, and how many it had accepted before. */
    private record UnresolvedCommand(WeightsDigests digests, long expectedCommands) {}

    private EngineWeightsController(
            EngineControl engine,
            Function<Integer, Optional<WeightsSource>> sources,
            VersionRollout rollout,
            Timers timers,
            EventLog log,
            MetricRegistry metrics) {
        this.engine = engine;
        this.rollout = rollout;
        this.timers = timers;
        this.log = log;
        this.stagingResources = new ChunkStaging.Resources(
                engine,
                sources,
                timers,
                log,
                metrics.counter("weights.chunks.fetched"),
                metrics.counter("weights.chunks.spoilt"));
    }

    /**
     * Creates a controller without a target version.
     *
     * @param engine the engine on the same VM
     * @param sources chooses the weights source by the number of consecutive failed steps
     * @param versionRolloutTime the time after a version is named from which all new requests must use it
     * @param timers the clock
     * @param log where decisions are logged
     * @param metrics where chunks are counted
     * @return the controller
     */
    public static EngineWeightsController create(
            EngineControl engine,
            Function<Integer, Optional<WeightsSource>> sources,
            Duration versionRolloutTime,
            Timers timers,
            EventLog log,
            MetricRegistry metrics) {
        return new EngineWeightsController(
                Objects.requireNonNull(engine, "engine"),
                Objects.requireNonNull(sources, "sources"),
                VersionRollout.create(versionRolloutTime, timers),
                timers,
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Sets the action that runs shortly before the load command is sent, so that entries can be told to send no
     * new requests.
     *
     * @param action receives the engine's latest report
     */
    public void onBeforeLoad(Consumer<EngineReport> action) {
        beforeLoad = Objects.requireNonNull(action, "action");
    }

    /**
     * Sets the version that the engine must load. Ignored if the sending entry does not know the newest version yet. An
     * entry that knows it may go back to an older version while the newest is unavailable.
     *
     * <p>The entry may have heard late of a version. The longest age that any entry has told counts, and brings a scheduled
     * load forward.
     *
     * @param digests the version and its digests
     * @param newSchedule when engines that serve requests stop to load
     */
    public void setTarget(WeightsDigests digests, LoadSchedule newSchedule) {
        long named = Math.max(newSchedule.newest(), digests.weights().version());
        takeSchedule(digests.weights().model(), newSchedule);
        if (!rollout.isNewest(named)) {
            return;
        }
        long before = targetVersion();
        boolean loaded =
                report.filter(state -> hasLoaded(state, digests.weights())).isPresent();
        if (digests.weights().version() == before
                || (loaded && digests.weights().version() < before)) {
            return;
        }
        target = Optional.of(digests);
        doubt = new ManifestDoubt();
        targetSetNanos = timers.nanoTime();
        loadAtNanos = Optional.empty();
        awaitedLoadNanos = Optional.empty();
        log.event(Category.BELIEF, "weights_wanted")
                .with("model", digests.weights().model())
                .with("version", digests.weights().version())
                .with("before", before)
                .with("age_ms", millisSinceNamed())
                .write();
        startStagingIfNeeded();
    }

    /**
     * Takes a schedule for the target version that is set already: the entry may have learnt since how long ago versions were
     * named.
     *
     * @param newSchedule when engines that serve requests stop to load
     */
    public void updateSchedule(LoadSchedule newSchedule) {
        target.ifPresent(digests -> takeSchedule(digests.weights().model(), newSchedule));
    }

    private void takeSchedule(String model, LoadSchedule newSchedule) {
        if (rollout.takeSchedule(model, newSchedule)) {
            bringLoadForward();
        }
    }

    /**
     * Returns the versions named so lately that engines may still serve an older one.
     *
     * @return the versions whose age any entry has told
     */
    public List<AgedVersion> versionsInRollout() {
        return rollout.versionsInRollout();
    }

    /**
     * Returns the target version.
     *
     * @return the version number, 0 for none
     */
    public long targetVersion() {
        return target.map(digests -> digests.weights().version()).orElse(0L);
    }

    /**
     * Updates the engine's state from a report, and stages chunks or sends the load command if that is due.
     *
     * @param newReport the report
     */
    public void onReport(EngineReport newReport) {
        boolean restarted = report.filter(before -> before.incarnation() != newReport.incarnation())
                .isPresent();
        if (restarted) {
            log.event(Category.BELIEF, "engine_reborn")
                    .with("born", newReport.incarnation())
                    .write();
            staging = Optional.empty();
            loadAtNanos = Optional.empty();
            awaitedLoadNanos = Optional.empty();
            loading = false;
            commanded = Optional.empty();
            unresolved = Optional.empty();
        }
        report = Optional.of(newReport);
        unresolved
                .filter(command -> newReport.acceptedCommands() > command.expectedCommands())
                .ifPresent(this::commandAccepted);
        if (loading
                && commanded.filter(weights -> hasLoaded(newReport, weights)).isPresent()) {
            loadCompleted(commanded.get());
        } else if (loading && commanded.isPresent() && isCommandDropped(newReport)) {
            loading = false;
            log.event(Category.FAILURE, "order_without_effect")
                    .with("version", commanded.get().version())
                    .write();
        }
        startStagingIfNeeded();
    }

    private void commandAccepted(UnresolvedCommand command) {
        unresolved = Optional.empty();
        if (loading) {
            return;
        }
        loading = true;
        commanded = Optional.of(command.digests().weights());
        commandedNanos = timers.nanoTime();
        log.event(Category.BELIEF, "engine_order_accepted_late")
                .with("version", command.digests().weights().version())
                .write();
    }

    private void loadCompleted(WeightsVersion weights) {
        loading = false;
        Duration loadTime = Duration.ofNanos(timers.nanoTime() - announcedNanos);
        log.event(Category.BELIEF, "weights_in_use")
                .with("version", weights.version())
                .with("after_ms", millisSinceNamed())
                .with("load_ms", loadTime.toMillis())
                .write();
    }

    /**
     * Tells whether the engine has dropped the load command: some time after it, it neither loads nor has the version.
     */
    private boolean isCommandDropped(EngineReport state) {
        return !state.busy() && timers.nanoTime() - commandedNanos > LOAD_EFFECT_TIMEOUT.toNanos();
    }

    /**
     * Tells whether the engine is loading or about to load.
     *
     * @return whether it should receive no new requests
     */
    public boolean isLoading() {
        return loading || report.filter(EngineReport::busy).isPresent();
    }

    /**
     * Returns the time until the engine stops to load.
     *
     * @return the time, zero if the load is due, or empty if the engine need not load, loads already or is not
     *     scheduled yet
     */
    public Optional<Duration> untilLoad() {
        if (isLoading() || report.filter(state -> !isUpToDate(state)).isEmpty()) {
            return Optional.empty();
        }
        long now = timers.nanoTime();
        return loadAtNanos.map(loadAt -> Duration.ofNanos(Math.max(0, loadAt - now)));
    }

    private boolean isUpToDate(EngineReport state) {
        return target.isEmpty() || hasLoaded(state, target.get().weights());
    }

    private static boolean hasLoaded(EngineReport state, WeightsVersion weights) {
        return state.weights()
                .filter(held -> held.model().equals(weights.model()))
                .filter(held -> held.version() >= weights.version())
                .isPresent();
    }

    private void startStagingIfNeeded() {
        boolean upToDate =
                unresolved.isEmpty() && report.filter(this::isUpToDate).isPresent();
        if (target.isEmpty() || report.isEmpty() || upToDate || report.get().busy() || loading) {
            return;
        }
        boolean inProgress = staging.filter(
                        current -> current.digests().equals(toStage().get()))
                .isPresent();
        if (inProgress) {
            return;
        }
        startStaging();
    }

    private void startStaging() {
        stagingIncarnation = report.orElseThrow().incarnation();
        ChunkStaging next = new ChunkStaging(
                toStage().orElseThrow(),
                stagingResources,
                this::isCurrent,
                this::onStagingComplete,
                this::chunkMismatched);
        staging = Optional.of(next);
        next.start();
    }

    /** Returns the version that may be staged: that of a command which the engine may still accept, otherwise the target. */
    private Optional<WeightsDigests> toStage() {
        return unresolved.map(UnresolvedCommand::digests).or(() -> target);
    }

    /** A chunk that was fetched does not match: its digest may be what is damaged. */
    private void chunkMismatched(int number) {
        if (doubt.recordMismatch(number)) {
            readManifestAgain(target.orElseThrow());
        }
    }

    /** Reads the digests again, each time from the next source, and stages by them if they differ. */
    private void readManifestAgain(WeightsDigests doubted) {
        stagingResources
                .sources()
                .apply(doubt.timesRaised())
                .ifPresent(source -> source.manifest(doubted.weights()).whenComplete((digests, error) -> {
                    boolean differs = error == null && !digests.equals(doubted);
                    if (!differs || target.filter(doubted::equals).isEmpty()) {
                        return;
                    }
                    target = Optional.of(digests);
                    log.event(Category.BELIEF, "manifest_replaced")
                            .with("model", digests.weights().model())
                            .with("version", digests.weights().version())
                            .with("source", source.name())
                            .write();
                    startStagingIfNeeded();
                }));
    }

    private boolean isCurrent(ChunkStaging candidate) {
        return staging.filter(current -> current == candidate).isPresent()
                && toStage()
                        .filter(digests -> digests.equals(candidate.digests()))
                        .isPresent();
    }

    /**
     * Sends the load command if this staging only read chunks back, and did so recently enough. Otherwise chunks were
     * only verified before their upload, or may have become corrupt meanwhile, so a new staging reads them back first.
     */
    private void onStagingComplete(ChunkStaging finished) {
        if (finished.fetched() > 0 || !finished.isStartedWithin(VERIFICATION_VALID_FOR)) {
            log.event(Category.BELIEF, "weights_staged")
                    .with("version", finished.digests().weights().version())
                    .with("fetched", finished.fetched())
                    .with("after_ms", millisSinceNamed())
                    .write();
            runIfLoadIsDue(this::startStaging);
            return;
        }
        runIfLoadIsDue(() -> announceLoad(finished));
    }

    /**
     * Runs the action if the scheduled time of the load has come, otherwise verifies the staged chunks
     * again at that time. The load of an engine without weights is due at once.
     */
    private void runIfLoadIsDue(Runnable action) {
        long now = timers.nanoTime();
        if (loadAtNanos.isEmpty()) {
            loadAtNanos = Optional.of(now + untilScheduledLoad().toNanos());
        }
        if (loadAtNanos.get() - now <= 0) {
            action.run();
            return;
        }
        awaitLoad();
    }

    /** Verifies the staged chunks again at the scheduled time of the load, unless that is brought forward meanwhile. */
    private void awaitLoad() {
        Optional<Long> awaited = loadAtNanos;
        awaitedLoadNanos = awaited;
        Duration remaining = Duration.ofNanos(awaited.orElseThrow() - timers.nanoTime());
        timers.schedule(remaining, () -> {
            if (awaitedLoadNanos.equals(awaited)) {
                awaitedLoadNanos = Optional.empty();
                startStaging();
            }
        });
    }

    private void bringLoadForward() {
        if (awaitedLoadNanos.isEmpty()) {
            return;
        }
        long scheduled = timers.nanoTime() + untilScheduledLoad().toNanos();
        if (scheduled - awaitedLoadNanos.get() < 0) {
            loadAtNanos = Optional.of(scheduled);
            awaitLoad();
        }
    }

    private Duration untilScheduledLoad() {
        return report.flatMap(EngineReport::weights).map(rollout::untilLoad).orElse(Duration.ZERO);
    }

    private void announceLoad(ChunkStaging finished) {
        if (!isCurrent(finished)) {
            return;
        }
        loading = true;
        commanded = Optional.empty();
        announcedNanos = timers.nanoTime();
        beforeLoad.accept(report.orElseThrow());
        timers.schedule(QUIESCE_DELAY, () -> sendLoadCommand(finished));
    }

    private void sendLoadCommand(ChunkStaging finished) {
        if (!isCurrent(finished) || report.isEmpty() || report.get().incarnation() != stagingIncarnation) {
            loading = false;
            staging = Optional.empty();
            return;
        }
        if (!finished.isStartedWithin(COMMAND_VALID_FOR)) {
            verifyAgain(finished);
            return;
        }
        WeightsVersion weights = finished.digests().weights();
        long expected = report.get().acceptedCommands();
        commanded = Optional.of(weights);
        commandedNanos = timers.nanoTime();
        BooleanSupplier stillValid = () -> finished.isStartedWithin(COMMAND_VALID_FOR);
        engine.load(weights, expected, stillValid).whenComplete((result, error) -> {
            staging = Optional.empty();
            boolean accepted = error == null && (result == LoadResult.BEGUN || result == LoadResult.IN_EFFECT);
            // A command without a response may have been accepted as well; the next report shows it.
            loading = accepted;
            if (error != null) {
                unresolved = Optional.of(new UnresolvedCommand(finished.digests(), expected));
            } else if (accepted) {
                unresolved = Optional.empty();
            }
            log.event(accepted ? Category.BELIEF : Category.FAILURE, "engine_ordered")
                    .with("version", weights.version())
                    .with("expected_orders", expected)
                    .with("result", error == null ? result.name() : String.valueOf(error.getMessage()))
                    .with("after_ms", millisSinceNamed())
                    .write();
        });
    }

    /** The staged chunks may have become corrupt since they were read back: the process was suspended. */
    private void verifyAgain(ChunkStaging outdated) {
        log.event(Category.BELIEF, "weights_verification_outdated")
                .with("version", outdated.digests().weights().version())
                .with("after_ms", millisSinceNamed())
                .write();
        loading = false;
        startStaging();
    }

    /** Returns the time since the target was named, or since it was set if nobody has told its age. */
    private long millisSinceNamed() {
        return target.flatMap(digests -> rollout.age(digests.weights()))
                .orElse(Duration.ofNanos(timers.nanoTime() - targetSetNanos))
                .toMillis();
    }
}
