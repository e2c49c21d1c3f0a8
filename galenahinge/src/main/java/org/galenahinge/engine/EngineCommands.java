package org.galenahinge.engine;

import java.util.Objects;
import java.util.Optional;

/**
 * Decides what to do with a model engine: serve its weights, send it no requests, or send it a load command. Has no
 * state: all inputs are parameters, so that a slot process that was paused decides on what it has just read again.
 */
public final class EngineCommands {
    private EngineCommands() {}

    /**
     * Decides what to do next.
     *
     * @param inputs what is known now
     * @return the action
     */
    public static Action decide(Inputs inputs) {
        Objects.requireNonNull(inputs, "inputs");
        if (inputs.desired().isEmpty()) {
            return new Action.Close("no ticket assigns a model to this VM");
        }
        if (inputs.engine().isEmpty()) {
            return new Action.Close("the engine's state cannot be read");
        }
        EngineState engine = inputs.engine().get();
        Desired desired = inputs.desired().get();
        if (engine.loading()) {
            return new Action.Close("the engine is loading");
        }
        if (isLoaded(desired, engine)) {
            return new Action.Serve(engine.loadedKey(), engine.fingerprint());
        }
        if (engine.fencingNumber() > desired.ticketNumber()) {
            return new Action.Close("the engine has accepted a load command of a later ticket");
        }
        return loadOrServe(inputs, engine);
    }

    private static Action loadOrServe(Inputs inputs, EngineState engine) {
        boolean nothingLoaded = engine.fingerprint().isEmpty();
        if (!inputs.weightsComplete()) {
            return nothingLoaded ? new Action.Close("the weights are not complete") : serveLoaded(engine);
        }
        if (nothingLoaded) {
            return new Action.Load();
        }
        if (!inputs.mayReload()) {
            return serveLoaded(engine);
        }
        if (inputs.requestsInFlight() > 0 || engine.running() > 0) {
            return new Action.Close("running requests must end before the new weights are loaded");
        }
        return new Action.Load();
    }

    private static Action serveLoaded(EngineState engine) {
        return new Action.Serve(engine.loadedKey(), engine.fingerprint());
    }

    private static boolean isLoaded(Desired desired, EngineState engine) {
        return engine.loadedKey().equals(desired.weightsKey())
                && !engine.fingerprint().isEmpty()
                && (desired.fingerprint().isEmpty() || desired.fingerprint().equals(engine.fingerprint()))
                && engine.role().equals(desired.role());
    }

    /**
     * The engine's desired state according to the ticket in force.
     *
     * @param ticketNumber number of the ticket
     * @param weightsKey key of the exact weights
     * @param fingerprint fingerprint of the weights, empty while the manifest is unknown
     * @param role role of the engine
     */
    public record Desired(long ticketNumber, String weightsKey, String fingerprint, String role) {}

    /**
     * The inputs of a decision.
     *
     * @param desired the engine's desired state, empty if no ticket in force names this VM
     * @param weightsComplete whether this VM has a complete, verified copy of the desired weights
     * @param mayReload whether this VM may stop serving the old weights now
     * @param engine the engine's last known state, empty if it could not be read
     * @param requestsInFlight number of requests sent to the engine that have not ended
     */
    public record Inputs(
            Optional<Desired> desired,
            boolean weightsComplete,
            boolean mayReload,
            Optional<EngineState> engine,
            int requestsInFlight) {}

    /** What to do with the engine. */
    public sealed interface Action {
        /**
         * Send the engine requests for the weights that it has loaded.
         *
         * @param weightsKey key of the weights
         * @param fingerprint fingerprint of the weights
         */
        record Serve(String weightsKey, String fingerprint) implements Action {}

        /**
         * Send the engine no requests.
         *
         * @param reason the reason, as plain text
         */
        record Close(String reason) implements Action {}

        /** Send the engine no requests, and a command to load the desired weights. */
        record Load() implements Action {}
    }
}
