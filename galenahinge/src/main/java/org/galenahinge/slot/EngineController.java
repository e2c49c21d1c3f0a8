package org.galenahinge.slot;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.galenahinge.concurrent.Controller;
import org.galenahinge.engine.EngineClient;
import org.galenahinge.engine.EngineCommands;
import org.galenahinge.engine.EngineState;
import org.galenahinge.log.DecisionLog;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.weights.ChunkCache;
import org.galenahinge.weights.Manifest.Chunk;
import org.galenahinge.weights.WeightsManifest;

/**
 * Sends load commands to the one model engine of this VM, one at a time, and determines which requests the engine may
 * be given. All events are handled on one thread.
 *
 * <p>The engine state is read before and after each load command, and every decision uses the state read last.
 */
final class EngineController implements AutoCloseable {
    private static final int EVENT_QUEUE_CAPACITY = 256;
    private static final Duration MINIMUM_TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration SETTLED_TICK_INTERVAL = Duration.ofMillis(500);
    private static final long STATE_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long LOAD_RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long STATE_STALE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final EngineClient engine;
    private final boolean checksFencing;
    private final ChunkCache cache;
    private final DecisionLog decisions;
    private final IntSupplier requestsRunning;
    private final Predicate<ServingState> publisher;
    private final ReloadSchedule reloadSchedule;
    private final Controller<Event> controller;
    private Optional<Assignment> assignment = Optional.empty();
    private Optional<WeightsManifest> completeManifest = Optional.empty();
    private Optional<EngineState> state = Optional.empty();
    private long stateReadNanos;
    private long nextReadNanos;
    private long loadNotBeforeNanos;
    private boolean reading;
    private boolean loading;
    private volatile ServingState serving = ServingState.CLOSED;
    private ServingState published = ServingState.CLOSED;
    private volatile String condition = "";

    private EngineController(
            EngineClient engine,
            boolean checksFencing,
            ChunkCache cache,
            DecisionLog decisions,
            IntSupplier requestsRunning,
            Predicate<ServingState> publisher,
            ReloadSchedule reloadSchedule) {
        this.engine = engine;
        this.checksFencing = checksFencing;
        this.cache = cache;
        this.decisions = decisions;
        this.requestsRunning = requestsRunning;
        this.publisher = publisher;
        this.reloadSchedule = reloadSchedule;
        long now = System.nanoTime();
        this.stateReadNanos = now - STATE_STALE_AFTER_NANOS;
        this.nextReadNanos = now;
        this.loadNotBeforeNanos = now;
        this.controller =
                Controller.start("engine", EVENT_QUEUE_CAPACITY, MINIMUM_TICK_INTERVAL, this::handle, this::tick);
    }

    static EngineController start(
            EngineClient engine,
            boolean checksFencing,
            ChunkCache cache,
            DecisionLog decisions,
            IntSupplier requestsRunning,
            Predicate<ServingState> publisher,
            ReloadSchedule reloadSchedule) {
        return new EngineController(
                Objects.requireNonNull(engine, "engine"),
                checksFencing,
                Objects.requireNonNull(cache, "cache"),
                Objects.requireNonNull(decisions, "decisions"),
                Objects.requireNonNull(requestsRunning, "requestsRunning"),
                Objects.requireNonNull(publisher, "publisher"),
                Objects.requireNonNull(reloadSchedule, "reloadSchedule"));
    }

    boolean offer(Event event) {
        return controller.offer(event);
    }

    ServingState serving() {
        return serving;
    }

    /** The reason why the engine serves or does not, for operators. */
    String condition() {
        return condition;
    }

    @Override
    public void close() {
        controller.close();
    }

    private void handle(Event event) {
        if (event instanceof Event.AssignmentChanged changed) {
            assignment = changed.assignment();
        } else if (event instanceof Event.CopyCompleted completed) {
            completeManifest = Optional.of(completed.manifest());
        } else if (event instanceof Event.StateRead read) {
            reading = false;
            recordState(read.state());
        } else if (event instanceof Event.LoadEnded ended) {
            loading = false;
            recordState(ended.state());
            decisions.record(
                    "ticket-" + assignment.map(Assignment::ticketNumber).orElse(0L),
                    "engine-loaded",
                    List.of(),
                    ended.state().map(EngineState::loadedKey).orElse(""),
                    ended.state().isPresent()
                            ? "the engine accepted the load command"
                            : "the engine rejected the load command or did not respond");
        }
        decide();
    }

    private void recordState(Optional<EngineState> read) {
        state = read;
        stateReadNanos = System.nanoTime();
    }

    private Duration tick() {
        long now = System.nanoTime();
        if (!reading && !loading && now - nextReadNanos >= 0) {
            reading = true;
            nextReadNanos = now + STATE_READ_INTERVAL_NANOS;
            offerResult(engine.state(), Event.StateRead::new);
        }
        assignment.ifPresent(reloadSchedule::probeIfDue);
        decide();
        if (!published.equals(serving) && publisher.test(serving)) {
            published = serving;
        }
        boolean settled = published.equals(serving) && serving.open() && isComplete() && !loading;
        return settled ? SETTLED_TICK_INTERVAL : MINIMUM_TICK_INTERVAL;
    }

    private void decide() {
        if (loading) {
            return;
        }
        // A state that was read before a long pause of this process is out of date.
        boolean stale = System.nanoTime() - stateReadNanos > STATE_STALE_AFTER_NANOS;
        EngineCommands.Action step = EngineCommands.decide(new EngineCommands.Inputs(
                wantedLoad(),
                isComplete(),
                assignment.map(reloadSchedule::mayReload).orElse(false),
                stale ? Optional.empty() : state,
                requestsRunning.getAsInt()));
        if (step instanceof EngineCommands.Action.Serve serve) {
            String model = assignment.flatMap(Assignment::model).orElseThrow().model();
            changeServing(
                    ServingState.model(model, serve.weightsKey(), serve.fingerprint()),
                    "serving " + serve.weightsKey());
        } else if (step instanceof EngineCommands.Action.Close close) {
            changeServing(ServingState.CLOSED, close.reason());
        } else {
            changeServing(ServingState.CLOSED, "loading");
            load();
        }
    }

    private void changeServing(ServingState next, String reason) {
        condition = reason;
        if (next.equals(serving)) {
            return;
        }
        serving = next;
        decisions.record("engine", next.open() ? "open" : "close", List.of(), next.weightsKey(), reason);
        if (publisher.test(next)) {
            published = next;
        }
    }

    private void load() {
        long now = System.nanoTime();
        if (now - loadNotBeforeNanos < 0 || !published.equals(ServingState.CLOSED)) {
            return;
        }
        if (!isCached(completeManifest.orElseThrow())) {
            completeManifest = Optional.empty();
            return;
        }
        loading = true;
        loadNotBeforeNanos = now + LOAD_RETRY_DELAY_NANOS;
        Assignment assigned = assignment.orElseThrow();
        offerResult(sendLoadCommand(assigned), Event.LoadEnded::new);
    }

    /**
     * Sends the load command. If the engine does not check fencing numbers, its state is read again just before, and no
     * command is sent when the state has changed.
     */
    private CompletionStage<Optional<EngineState>> sendLoadCommand(Assignment assigned) {
        ModelWorkload model = assigned.model().orElseThrow();
        WeightsManifest manifest = completeManifest.orElseThrow();
        if (checksFencing) {
            return engine.load(manifest, cache, model.role(), assigned.ticketNumber());
        }
        Optional<EngineState> previous = state;
        return engine.state()
                .thenCompose(latest -> latest.equals(previous)
                        ? engine.load(manifest, cache, model.role(), assigned.ticketNumber())
                        : CompletableFuture.completedFuture(latest));
    }

    /** The last check before a load command: every chunk is cached, and was verified when it was added. */
    private boolean isCached(WeightsManifest manifest) {
        return manifest.distinctChunks().stream().map(Chunk::hash).allMatch(cache::contains);
    }

    private boolean isComplete() {
        String wanted = assignment
                .flatMap(Assignment::model)
                .map(ModelWorkload::weightsKey)
                .orElse("");
        return completeManifest
                .filter(manifest -> manifest.key().equals(wanted))
                .isPresent();
    }

    private Optional<EngineCommands.Desired> wantedLoad() {
        return assignment.flatMap(assigned -> assigned.model()
                .map(model -> new EngineCommands.Desired(
                        assigned.ticketNumber(),
                        model.weightsKey(),
                        isComplete() ? completeManifest.orElseThrow().fingerprint() : "",
                        model.role().name().toLowerCase(Locale.ROOT))));
    }

    private void offerResult(
            CompletionStage<Optional<EngineState>> reading, Function<Optional<EngineState>, Event> event) {
        reading.handle((result, error) -> error == null ? result : Optional.<EngineState>empty())
                .thenAccept(result -> controller.offer(event.apply(result)));
    }

    /** Event that the engine controller handles. */
    sealed interface Event {
        /** The assignment of this VM by the tickets in force changed. */
        record AssignmentChanged(Optional<Assignment> assignment) implements Event {}

        /** The cache holds a complete, verified copy of the weights. */
        record CopyCompleted(WeightsManifest manifest) implements Event {}

        /** A read of the engine state ended; empty when it failed. */
        record StateRead(Optional<EngineState> state) implements Event {}

        /** A load command ended; empty when the engine rejected it or did not respond. */
        record LoadEnded(Optional<EngineState> state) implements Event {}
    }
}
