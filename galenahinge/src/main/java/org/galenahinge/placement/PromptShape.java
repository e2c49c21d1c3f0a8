package org.galenahinge.placement;

import java.util.Objects;

/**
 * The model and size of a request to a model engine.
 *
 * @param model name of the model
 * @param promptTokens number of prompt tokens
 * @param outputTokens expected number of tokens in the response
 */
public record PromptShape(String model, int promptTokens, int outputTokens) {
    /** Rejects a missing model and negative token counts. */
    public PromptShape {
        Objects.requireNonNull(model, "model");
        if (promptTokens < 0 || outputTokens < 0) {
            throw new IllegalArgumentException("token counts must not be negative");
        }
    }

    /**
     * Returns the size of the context at the end of the response.
     *
     * @return tokens
     */
    public long totalTokens() {
        return (long) promptTokens + outputTokens;
    }
}
