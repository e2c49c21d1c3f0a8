package org.galenahinge.supply;

import java.util.concurrent.CompletionStage;
import org.galenahinge.upstream.WeightsVersion;

/** Hands out the weights of versions. Each stage fails with a {@link SupplyException} when there is no whole answer. */
public interface WeightsSource {
    /**
     * Reads which chunks make up a version.
     *
     * @param weights the model and its version
     * @return the manifest
     */
    CompletionStage<WeightsDigests> manifest(WeightsVersion weights);

    /**
     * Reads a chunk; it is not verified.
     *
     * @param weights the model and its version
     * @param number the chunk's number, from 0
     * @return its bytes
     */
    CompletionStage<byte[]> chunk(WeightsVersion weights, int number);

    /**
     * Tells whether this is the origin itself, whose bytes are dear.
     *
     * @return whether it is no other node
     */
    boolean isOrigin();

    /**
     * Returns the name for log lines.
     *
     * @return the name
     */
    String name();
}
