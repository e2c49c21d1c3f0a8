package org.galenahinge.placement;

import java.util.Objects;
import org.galenahinge.catalog.EngineProfile;

/** Predicts how long a model engine needs for a request, from the engine's published figures. Immutable. */
public final class EngineModel {
    private static final double PAIRS_PER_MILLION = 1e6;
    private static final double TOKENS_PER_THOUSAND = 1e3;

    private final EngineProfile figures;

    private EngineModel(EngineProfile figures) {
        this.figures = figures;
    }

    /**
     * Creates a model of an engine.
     *
     * @param figures the engine's published figures
     * @return the model
     */
    public static EngineModel of(EngineProfile figures) {
        return new EngineModel(Objects.requireNonNull(figures, "figures"));
    }

    /**
     * Returns the time to prefill (read) a prompt on an otherwise idle engine.
     *
     * @param tokens number of prompt tokens
     * @return milliseconds
     */
    public double prefillMillis(double tokens) {
        double pairs = tokens * tokens / 2;
        return tokens / figures.prefillTokensPerMilli()
                + pairs / PAIRS_PER_MILLION * figures.attentionMillisPerMillionPairs();
    }

    /**
     * Returns the time of one decode step, which writes one token for each decoding request.
     *
     * @param decoding number of requests that are decoding
     * @param contextTokens total context of these requests, in tokens
     * @return milliseconds
     */
    public double stepMillis(int decoding, double contextTokens) {
        return figures.stepMillis()
                + decoding * figures.perSequenceMillis()
                + contextTokens / TOKENS_PER_THOUSAND * figures.contextMillisPerThousandTokens();
    }

    /**
     * Predicts the time until the first token of a request that is sent now.
     *
     * @param state the engine's present work
     * @param promptTokens number of prompt tokens of the request
     * @return milliseconds
     */
    public double firstTokenMillis(State state, int promptTokens) {
        double step = stepMillis(state.running(), state.contextTokens());
        double firstStep = stepMillis(state.running() + 1, state.contextTokens() + promptTokens);
        double stepsBeforeFirstChunk = state.running() > 0 ? step * figures.decodeStepsPerPass() / 2 : 0;
        double chunks = Math.ceil((state.pendingPromptTokens() + promptTokens) / figures.prefillChunkTokens());
        double stepsBetweenChunks =
                state.running() > 0 ? Math.max(0, chunks - 1) * step * figures.decodeStepsPerPass() : 0;
        double prefill = state.pendingPrefillMillis() + prefillMillis(promptTokens);
        double slotWait = slotWaitMillis(state);
        return (stepsBeforeFirstChunk + stepsBetweenChunks + prefill + firstStep + slotWait) * state.pace();
    }

    /**
     * Predicts the time from the first token of a response to its last.
     *
     * @param state the engine's other work
     * @param outputTokens number of tokens to write
     * @return milliseconds
     */
    public double decodeMillis(State state, int outputTokens) {
        return outputTokens * stepMillis(Math.max(1, state.running()), state.contextTokens()) * state.pace();
    }

    /** While the batch is full a request waits for slots, which become free evenly over the average residence time. */
    private double slotWaitMillis(State state) {
        int ahead = state.running() + state.waiting() - figures.slots() + 1;
        if (ahead <= 0) {
            return 0;
        }
        return ahead * state.residenceMillis() / figures.slots();
    }

    /**
     * The work that an engine has accepted.
     *
     * @param running requests in its batch
     * @param waiting requests that wait for a slot
     * @param contextTokens total context of the batch, in tokens
     * @param pendingPromptTokens prompt tokens that were sent and not yet read
     * @param pendingPrefillMillis time to read these tokens, in milliseconds
     * @param residenceMillis average time a request stays in the batch, in milliseconds
     * @param pace how many times slower than its figures it works, 1 for as published
     */
    public record State(
            int running,
            int waiting,
            double contextTokens,
            double pendingPromptTokens,
            double pendingPrefillMillis,
            double residenceMillis,
            double pace) {}
}
