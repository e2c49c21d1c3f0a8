package org.galenahinge.engine;

import java.util.Objects;
import java.util.Optional;

/**
 * Decides what to do with a model engine: serve from it, close it, or order it to load. Pure: every fact is a
 * parameter, so a process that was paused decides by what it has just read again.
 */
public final class EngineOrders {
    private EngineOrders() {}

    /**
     * Decides the next step.
     *
     * @param facts what is known now
     * @return the step
     */
    public static Step decide(Facts facts) {
        Objects.requireNonNull(facts, "facts");
        if (facts.wanted().isEmpty()) {
            return new Step.Close("no ticket assigns a model to this VM");
        }
        if (facts.engine().isEmpty()) {
            return new Step.Close("the engine's state cannot be read");
        }
        EngineState engine = facts.engine().get();
        Wanted wanted = facts.wanted().get();
        if (engine.loading()) {
            return new Step.Close("the engine is loading");
        }
        if (isHeld(wanted, engine)) {
            return new Step.Serve(engine.loadedKey(), engine.fingerprint());
        }
        if (engine.fencingNumber() > wanted.ticketNumber()) {
            return new Step.Close("the engine has taken an order of a later ticket");
        }
        return loadOrWait(facts, engine);
    }

    private static Step loadOrWait(Facts facts, EngineState engine) {
        boolean empty = engine.fingerprint().isEmpty();
        if (!facts.complete()) {
            return empty ? new Step.Close("the weights are not complete") : serveOld(engine);
        }
        if (empty) {
            return new Step.Load();
        }
        if (!facts.turn()) {
            return serveOld(engine);
        }
        if (facts.callsRunning() > 0 || engine.running() > 0) {
            return new Step.Close("calls are finishing before the new weights are loaded");
        }
        return new Step.Load();
    }

    private static Step serveOld(EngineState engine) {
        return new Step.Serve(engine.loadedKey(), engine.fingerprint());
    }

    private static boolean isHeld(Wanted wanted, EngineState engine) {
        return engine.loadedKey().equals(wanted.weightsKey())
                && !engine.fingerprint().isEmpty()
                && (wanted.fingerprint().isEmpty() || wanted.fingerprint().equals(engine.fingerprint()))
                && engine.role().equals(wanted.role());
    }

    /**
     * What the ticket in force asks for.
     *
     * @param ticketNumber the ticket's number
     * @param weightsKey the name of the exact weights
     * @param fingerprint their fingerprint, empty before the manifest is known
     * @param role the engine's role
     */
    public record Wanted(long ticketNumber, String weightsKey, String fingerprint, String role) {}

    /**
     * What is known now.
     *
     * @param wanted what the ticket in force asks for, if one names this VM
     * @param complete whether a verified copy is held
     * @param turn whether this VM may stop serving old weights now
     * @param engine what the engine last said, empty when it could not be read
     * @param callsRunning calls handed to the engine that have not ended
     */
    public record Facts(
            Optional<Wanted> wanted, boolean complete, boolean turn, Optional<EngineState> engine, int callsRunning) {}

    /** What to do. */
    public sealed interface Step {
        /**
         * Give the engine calls for the weights that it holds.
         *
         * @param weightsKey the weights
         * @param fingerprint their fingerprint
         */
        record Serve(String weightsKey, String fingerprint) implements Step {}

        /**
         * Give the engine no calls.
         *
         * @param reason why
         */
        record Close(String reason) implements Step {}

        /** Give the engine no calls, and order it to load the wanted weights. */
        record Load() implements Step {}
    }
}
