package org.galenahinge.catalog;

import java.util.List;
import java.util.Objects;

/**
 * The published figures of a service's model engines, which process requests in a batch.
 *
 * @param slots requests processed at once
 * @param memoryTokens tokens of context that fit its memory
 * @param stepMillis the time of one token step, in milliseconds
 * @param perSequenceMillis what each writing request adds to a step, in milliseconds
 * @param contextMillisPerThousand what a thousand tokens of context add to a step, in milliseconds
 * @param readTokensPerMilli prompt tokens read in a millisecond
 * @param pairsMillisPerMillion what a million pairs of a token and an earlier one add to reading, in milliseconds
 * @param chunkTokens the most prompt tokens read in one step
 * @param stride token steps in one pass that writes
 * @param layers layers of a model
 * @param chunks chunks of the weights of a version
 * @param chunkBytes the size of a chunk, in bytes
 * @param models the models served
 */
public record EngineFigures(
        int slots,
        long memoryTokens,
        double stepMillis,
        double perSequenceMillis,
        double contextMillisPerThousand,
        double readTokensPerMilli,
        double pairsMillisPerMillion,
        int chunkTokens,
        int stride,
        int layers,
        int chunks,
        int chunkBytes,
        List<String> models) {
    /** Checks and copies the parts. */
    public EngineFigures {
        models = List.copyOf(Objects.requireNonNull(models, "models"));
        if (slots < 1 || !(readTokensPerMilli > 0) || !(stepMillis > 0)) {
            throw new IllegalArgumentException("slots, reading rate and step time must be positive");
        }
    }
}
