package org.galenahinge.catalog;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * Capacity and speed of a service's model engines, as the operators publish them. An engine processes requests in a
 * batch, one token of each request per step.
 *
 * @param slots the maximum number of requests in the batch
 * @param memoryTokens the number of context tokens that fit into the engine's memory
 * @param stepMillis the base duration of one decode step, in milliseconds
 * @param perSequenceMillis the time that each decoding request adds to a step, in milliseconds
 * @param contextMillisPerThousandTokens the time that each thousand tokens of context add to a step, in milliseconds
 * @param prefillTokensPerMilli prompt tokens processed per millisecond (prefill)
 * @param attentionMillisPerMillionPairs the time that each million pairs of a token and an earlier token add to
 *     prefill, in milliseconds
 * @param prefillChunkTokens the maximum number of prompt tokens processed in one prefill pass
 * @param decodeStepsPerPass the number of decode steps in one decode pass
 * @param layers the number of layers of a model
 * @param chunks the number of chunks that the weights of a version have, empty if it is not published
 * @param chunkBytes the size of a chunk, in bytes
 * @param models the names of the models served
 * @param usualPromptTokens the mean number of prompt tokens of a request, empty if it is not published
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        double stepMillis,
        double perSequenceMillis,
        double contextMillisPerThousandTokens,
        double prefillTokensPerMilli,
        double attentionMillisPerMillionPairs,
        int prefillChunkTokens,
        int decodeStepsPerPass,
        int layers,
        OptionalInt chunks,
        int chunkBytes,
        List<String> models,
        OptionalInt usualPromptTokens) {
    /** Copies the models; rejects a profile without slots, prefill rate or step time. */
    public EngineProfile {
        models = List.copyOf(Objects.requireNonNull(models, "models"));
        if (slots < 1 || !(prefillTokensPerMilli > 0) || !(stepMillis > 0)) {
            throw new IllegalArgumentException("slots, prefillTokensPerMilli and stepMillis must be positive");
        }
        Objects.requireNonNull(chunks, "chunks");
        Objects.requireNonNull(usualPromptTokens, "usualPromptTokens");
    }

    /**
     * Creates a profile that does not publish the size of the usual prompt.
     *
     * @param slots the maximum number of requests in the batch
     * @param memoryTokens the number of context tokens that fit into the engine's memory
     * @param stepMillis the base duration of one decode step, in milliseconds
     * @param perSequenceMillis the time that each decoding request adds to a step, in milliseconds
     * @param contextMillisPerThousandTokens the time that each thousand tokens of context add to a step, in milliseconds
     * @param prefillTokensPerMilli prompt tokens processed per millisecond (prefill)
     * @param attentionMillisPerMillionPairs the time that each million pairs of a token and an earlier token add to
     *     prefill, in milliseconds
     * @param prefillChunkTokens the maximum number of prompt tokens processed in one prefill pass
     * @param decodeStepsPerPass the number of decode steps in one decode pass
     * @param layers the number of layers of a model
     * @param chunks the number of chunks that the weights of a version have
     * @param chunkBytes the size of a chunk, in bytes
     * @param models the names of the models served
     */
    public EngineProfile(
            int slots,
            long memoryTokens,
            double stepMillis,
            double perSequenceMillis,
            double contextMillisPerThousandTokens,
            double prefillTokensPerMilli,
            double attentionMillisPerMillionPairs,
            int prefillChunkTokens,
            int decodeStepsPerPass,
            int layers,
            int chunks,
            int chunkBytes,
            List<String> models) {
        this(
                slots,
                memoryTokens,
                stepMillis,
                perSequenceMillis,
                contextMillisPerThousandTokens,
                prefillTokensPerMilli,
                attentionMillisPerMillionPairs,
                prefillChunkTokens,
                decodeStepsPerPass,
                layers,
                OptionalInt.of(chunks),
                chunkBytes,
                models,
                OptionalInt.empty());
    }
}
