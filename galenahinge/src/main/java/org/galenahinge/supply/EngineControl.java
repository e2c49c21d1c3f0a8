package org.galenahinge.supply;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.galenahinge.upstream.WeightsVersion;

/** Speaks to one engine on the own VM. Each stage fails with a {@link SupplyException} when there is no clear answer. */
public interface EngineControl {
    /**
     * Reads the engine's state.
     *
     * @return the state
     */
    CompletionStage<EngineReport> report();

    /**
     * Lays a chunk beside the engine, over the one of the same number.
     *
     * @param model the model
     * @param number the chunk's number, from 0
     * @param content its bytes
     * @return done when the engine has it
     */
    CompletionStage<Void> stage(String model, int number, byte[] content);

    /**
     * Reads a staged chunk back.
     *
     * @param model the model
     * @param number the chunk's number, from 0
     * @return its bytes, or empty when there is none
     */
    CompletionStage<Optional<byte[]>> staged(String model, int number);

    /**
     * Orders the engine to load what is staged.
     *
     * @param weights the model and its version
     * @param expectedOrders how many orders the engine is to have accepted before this one
     * @return what the engine said
     */
    CompletionStage<OrderResult> load(WeightsVersion weights, long expectedOrders);

    /** What an engine says to an order. */
    enum OrderResult {
        /** It has begun. */
        BEGUN,
        /** It is in effect already. */
        IN_EFFECT,
        /** It does not fit the engine's state, which must be read again. */
        CONFLICT,
        /** The engine knows no such order, or its caller is superseded. */
        REFUSED
    }

    /**
     * An engine's state.
     *
     * @param running requests in its batch
     * @param waiting requests that wait
     * @param contextUsed memory that cannot yield, in tokens times layers
     * @param contextTotal all memory for context, in tokens times layers
     * @param pace how much slower than its figures it works
     * @param busy whether an order is in progress
     * @param orders how many orders it has accepted
     * @param bornMillis when it started, in milliseconds since 1970; 0 where it does not say
     * @param layers the layers that it holds, at least 1
     * @param weights the weights that it holds whole, if any
     */
    record EngineReport(
            int running,
            int waiting,
            long contextUsed,
            long contextTotal,
            double pace,
            boolean busy,
            long orders,
            long bornMillis,
            int layers,
            Optional<WeightsVersion> weights) {}
}
