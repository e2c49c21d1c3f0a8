package org.galenahinge.supply;

import java.util.concurrent.CompletionStage;
import org.galenahinge.upstream.WeightsVersion;

/**
 * Reads the weights of versions from the origin or from another node. The returned stages fail with a
 * {@link SupplyException} if there is no complete response.
 */
public interface WeightsSource {
    /**
     * Reads the digests of the chunks of a version.
     *
     * @param weights the model and its version
     * @return the digests
     */
    CompletionStage<WeightsDigests> manifest(WeightsVersion weights);

    /**
     * Reads a chunk, without verifying it.
     *
     * @param weights the model and its version
     * @param number the chunk's number, from 0
     * @return its bytes
     */
    CompletionStage<byte[]> chunk(WeightsVersion weights, int number);

    /**
     * Tells whether this is the origin, from which as few bytes as possible should be read.
     *
     * @return whether it is the origin, not another node
     */
    boolean isOrigin();

    /**
     * Returns the name for log lines.
     *
     * @return the name
     */
    String name();
}
