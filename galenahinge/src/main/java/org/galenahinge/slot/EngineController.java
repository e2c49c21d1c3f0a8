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
 * Gives the one model engine of this VM its orders, one at a time, and says what it may be given. One thread.
 *
 * <p>The engine's state is read before and after each order, and every decision is taken from what was just read.
 */
final class EngineController implements AutoCloseable {
    private static final int RING = 256;
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration SETTLED = Duration.ofMillis(500);
    private static final long STATE_EVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long LOAD_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long FACTS_LAST_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final EngineClient engine;
    private final boolean checksFencing;
    private final ChunkCache memory;
    private final DecisionLog decisions;
    private final IntSupplier callsRunning;
    private final Predicate<ServingState> publisher;
    private final ReloadTurn turn;
    private final Controller<Event> controller;
    private Optional<Assignment> assignment = Optional.empty();
    private Optional<WeightsManifest> complete = Optional.empty();
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
            ChunkCache memory,
            DecisionLog decisions,
            IntSupplier callsRunning,
            Predicate<ServingState> publisher,
            ReloadTurn turn) {
        this.engine = engine;
        this.checksFencing = checksFencing;
        this.memory = memory;
        this.decisions = decisions;
        this.callsRunning = callsRunning;
        this.publisher = publisher;
        this.turn = turn;
        long now = System.nanoTime();
        this.stateReadNanos = now - FACTS_LAST_NANOS;
        this.nextReadNanos = now;
        this.loadNotBeforeNanos = now;
        this.controller = Controller.start("engine", RING, TICK, this::handle, this::tick);
    }

    static EngineController start(
            EngineClient engine,
            boolean checksFencing,
            ChunkCache memory,
            DecisionLog decisions,
            IntSupplier callsRunning,
            Predicate<ServingState> publisher,
            ReloadTurn turn) {
        return new EngineController(
                Objects.requireNonNull(engine, "engine"),
                checksFencing,
                Objects.requireNonNull(memory, "memory"),
                Objects.requireNonNull(decisions, "decisions"),
                Objects.requireNonNull(callsRunning, "callsRunning"),
                Objects.requireNonNull(publisher, "publisher"),
                Objects.requireNonNull(turn, "turn"));
    }

    boolean offer(Event event) {
        return controller.offer(event);
    }

    ServingState serving() {
        return serving;
    }

    /** Why the engine serves or does not, for operators. */
    String condition() {
        return condition;
    }

    @Override
    public void close() {
        controller.close();
    }

    private void handle(Event event) {
        if (event instanceof Event.Wanted wanted) {
            assignment = wanted.assignment();
        } else if (event instanceof Event.Complete completed) {
            complete = Optional.of(completed.manifest());
        } else if (event instanceof Event.StateRead read) {
            reading = false;
            remember(read.state());
        } else if (event instanceof Event.LoadEnded ended) {
            loading = false;
            remember(ended.state());
            decisions.record(
                    "ticket-" + assignment.map(Assignment::ticketNumber).orElse(0L),
                    "engine-loaded",
                    List.of(),
                    ended.state().map(EngineState::loadedKey).orElse(""),
                    ended.state().isPresent() ? "the engine took the order" : "the engine refused or was lost");
        }
        decide();
    }

    private void remember(Optional<EngineState> read) {
        state = read;
        stateReadNanos = System.nanoTime();
    }

    private Duration tick() {
        long now = System.nanoTime();
        if (!reading && !loading && now - nextReadNanos >= 0) {
            reading = true;
            nextReadNanos = now + STATE_EVERY_NANOS;
            report(engine.state(), Event.StateRead::new);
        }
        assignment.ifPresent(turn::refresh);
        decide();
        if (!published.equals(serving) && publisher.test(serving)) {
            published = serving;
        }
        boolean settled = published.equals(serving) && serving.open() && isComplete() && !loading;
        return settled ? SETTLED : TICK;
    }

    private void decide() {
        if (loading) {
            return;
        }
        // After a long pause of this process the state read before it says nothing any more.
        boolean stale = System.nanoTime() - stateReadNanos > FACTS_LAST_NANOS;
        EngineCommands.Action step = EngineCommands.decide(new EngineCommands.Inputs(
                wanted(),
                isComplete(),
                assignment.map(turn::hasTurn).orElse(false),
                stale ? Optional.empty() : state,
                callsRunning.getAsInt()));
        if (step instanceof EngineCommands.Action.Serve serve) {
            String model = assignment.flatMap(Assignment::model).orElseThrow().model();
            become(ServingState.model(model, serve.weightsKey(), serve.fingerprint()), "serving " + serve.weightsKey());
        } else if (step instanceof EngineCommands.Action.Close close) {
            become(ServingState.CLOSED, close.reason());
        } else {
            become(ServingState.CLOSED, "loading");
            load();
        }
    }

    private void become(ServingState next, String why) {
        condition = why;
        if (next.equals(serving)) {
            return;
        }
        serving = next;
        decisions.record("engine", next.open() ? "open" : "close", List.of(), next.weightsKey(), why);
        if (publisher.test(next)) {
            published = next;
        }
    }

    private void load() {
        long now = System.nanoTime();
        if (now - loadNotBeforeNanos < 0 || !published.equals(ServingState.CLOSED)) {
            return;
        }
        if (!isWhole(complete.orElseThrow())) {
            complete = Optional.empty();
            return;
        }
        loading = true;
        loadNotBeforeNanos = now + LOAD_RETRY_NANOS;
        Assignment assigned = assignment.orElseThrow();
        report(order(assigned), Event.LoadEnded::new);
    }

    /** An engine that does not check fencing numbers is read again just before the order, and left alone if it changed. */
    private CompletionStage<Optional<EngineState>> order(Assignment assigned) {
        ModelWorkload model = assigned.model().orElseThrow();
        WeightsManifest manifest = complete.orElseThrow();
        if (checksFencing) {
            return engine.load(manifest, memory, model.role(), assigned.ticketNumber());
        }
        Optional<EngineState> decidedBy = state;
        return engine.state()
                .thenCompose(fresh -> fresh.equals(decidedBy)
                        ? engine.load(manifest, memory, model.role(), assigned.ticketNumber())
                        : CompletableFuture.completedFuture(fresh));
    }

    /** The last check before an order: every chunk is held, and was verified when it came. */
    private boolean isWhole(WeightsManifest manifest) {
        return manifest.distinctChunks().stream().map(Chunk::hash).allMatch(memory::contains);
    }

    private boolean isComplete() {
        String wanted = assignment
                .flatMap(Assignment::model)
                .map(ModelWorkload::weightsKey)
                .orElse("");
        return complete.filter(manifest -> manifest.key().equals(wanted)).isPresent();
    }

    private Optional<EngineCommands.Desired> wanted() {
        return assignment.flatMap(assigned -> assigned.model()
                .map(model -> new EngineCommands.Desired(
                        assigned.ticketNumber(),
                        model.weightsKey(),
                        isComplete() ? complete.orElseThrow().fingerprint() : "",
                        model.role().name().toLowerCase(Locale.ROOT))));
    }

    private void report(CompletionStage<Optional<EngineState>> reading, Function<Optional<EngineState>, Event> event) {
        reading.handle((result, error) -> error == null ? result : Optional.<EngineState>empty())
                .thenAccept(result -> controller.offer(event.apply(result)));
    }

    /** What the engine controller hears. */
    sealed interface Event {
        /** The tickets in force say something new about this VM. */
        record Wanted(Optional<Assignment> assignment) implements Event {}

        /** A complete, verified copy is held. */
        record Complete(WeightsManifest manifest) implements Event {}

        /** The engine's state was read, or could not be. */
        record StateRead(Optional<EngineState> state) implements Event {}

        /** An order to load was answered, or was not. */
        record LoadEnded(Optional<EngineState> state) implements Event {}
    }
}
