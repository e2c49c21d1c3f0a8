package org.galenahinge.supply;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.galenahinge.upstream.WeightsVersion;

/**
 * Controls the engine on the same VM. The returned stages fail with a {@link SupplyException} if the engine sends no
 * response or an unusable one.
 */
public interface EngineControl {
    /**
     * Reads the engine's report of its state.
     *
     * @return the report
     */
    CompletionStage<EngineReport> report();

    /**
     * Uploads a chunk to the engine's staging area, replacing the one of the same number.
     *
     * @param model the model
     * @param number the chunk's number, from 0
     * @param content its bytes
     * @return completes when the engine has stored it
     */
    CompletionStage<Void> stage(String model, int number, byte[] content);

    /**
     * Reads back a chunk from the staging area.
     *
     * @param model the model
     * @param number the chunk's number, from 0
     * @return its bytes, or empty if none is staged
     */
    CompletionStage<Optional<byte[]>> readStaged(String model, int number);

    /**
     * Sends the load command for the staged chunks.
     *
     * @param weights the model and its version
     * @param expectedCommands the number of load commands that the engine must have accepted before; with another
     *     number it rejects the command
     * @param stillValid asked immediately before the command is written; if false, it is not sent, and the stage fails
     * @return the engine's response
     */
    CompletionStage<LoadResult> load(WeightsVersion weights, long expectedCommands, BooleanSupplier stillValid);

    /** The engine's response to a load command. */
    enum LoadResult {
        /** Loading has started. */
        BEGUN,
        /** The engine has loaded the version already. */
        IN_EFFECT,
        /** The command does not match the engine's state, which must be read again. */
        CONFLICT,
        /** The engine does not know the command, or its sender has been superseded. */
        REFUSED
    }

    /**
     * The state that an engine reports.
     *
     * @param running the number of requests in its batch
     * @param waiting the number of requests waiting for the batch
     * @param contextUsed context memory in use that cannot be freed, in tokens times layers
     * @param contextTotal total context memory, in tokens times layers
     * @param pace the factor by which it is slower than its profile; 1 for as fast
     * @param busy whether it is loading
     * @param acceptedCommands the number of load commands that it has accepted
     * @param incarnation its start time, in milliseconds since 1970; 0 if it reports none
     * @param layers the number of layers that it holds, at least 1
     * @param weights the weights that it has loaded completely, if any
     */
    record EngineReport(
            int running,
            int waiting,
            long contextUsed,
            long contextTotal,
            double pace,
            boolean busy,
            long acceptedCommands,
            long incarnation,
            int layers,
            Optional<WeightsVersion> weights) {}
}
