package org.galenahinge.placement;

import java.util.Objects;

/**
 * What a request to a model engine says of its size.
 *
 * @param model the model's name
 * @param promptTokens tokens to be read
 * @param answerTokens tokens that it will probably write
 */
public record PromptShape(String model, int promptTokens, int answerTokens) {
    /** Checks the parts. */
    public PromptShape {
        Objects.requireNonNull(model, "model");
        if (promptTokens < 0 || answerTokens < 0) {
            throw new IllegalArgumentException("token counts must not be negative");
        }
    }

    /**
     * Returns the context at the end of the answer.
     *
     * @return tokens
     */
    public long totalTokens() {
        return (long) promptTokens + answerTokens;
    }
}
