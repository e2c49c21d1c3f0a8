package org.galenahinge.placement;

import java.util.Objects;
import org.galenahinge.catalog.EngineProfile;

/** Predicts what an engine needs for its work, from its published figures. Immutable. */
public final class EngineModel {
    private static final double PAIRS_PER_MILLION = 1e6;
    private static final double TOKENS_PER_THOUSAND = 1e3;

    private final EngineProfile figures;

    private EngineModel(EngineProfile figures) {
        this.figures = figures;
    }

    /**
     * Creates a model.
     *
     * @param figures the published figures
     * @return the model
     */
    public static EngineModel of(EngineProfile figures) {
        return new EngineModel(Objects.requireNonNull(figures, "figures"));
    }

    /**
     * Returns the time to read a prompt with nothing else to do.
     *
     * @param tokens the prompt's tokens
     * @return milliseconds
     */
    public double readMillis(double tokens) {
        double pairs = tokens * tokens / 2;
        return tokens / figures.prefillTokensPerMilli()
                + pairs / PAIRS_PER_MILLION * figures.attentionMillisPerMillionPairs();
    }

    /**
     * Returns the time of one token step.
     *
     * @param writers requests that write
     * @param contextTokens the context of all of them
     * @return milliseconds
     */
    public double stepMillis(int writers, double contextTokens) {
        return figures.stepMillis()
                + writers * figures.perSequenceMillis()
                + contextTokens / TOKENS_PER_THOUSAND * figures.contextMillisPerThousandTokens();
    }

    /**
     * Predicts the time until the first token of a request that is sent now.
     *
     * @param state what the engine has to do already
     * @param promptTokens the request's prompt
     * @return milliseconds
     */
    public double firstTokenMillis(State state, int promptTokens) {
        double step = stepMillis(state.running(), state.contextTokens());
        double ownStep = stepMillis(state.running() + 1, state.contextTokens() + promptTokens);
        double halfPass = state.running() > 0 ? step * figures.decodeStepsPerPass() / 2 : 0;
        double passes = Math.ceil((state.unreadTokens() + promptTokens) / figures.prefillChunkTokens());
        double between = state.running() > 0 ? Math.max(0, passes - 1) * step * figures.decodeStepsPerPass() : 0;
        double read = state.unreadMillis() + readMillis(promptTokens);
        double slotWait = slotWaitMillis(state);
        return (halfPass + between + read + ownStep + slotWait) * state.pace();
    }

    /**
     * Predicts how long a request stays, from the first token to the last.
     *
     * @param state what the engine has to do beside it
     * @param answerTokens the tokens to write
     * @return milliseconds
     */
    public double writeMillis(State state, int answerTokens) {
        return answerTokens * stepMillis(Math.max(1, state.running()), state.contextTokens()) * state.pace();
    }

    /** With a full batch a request waits for places to come free, which they do evenly over a stay. */
    private double slotWaitMillis(State state) {
        int ahead = state.running() + state.waiting() - figures.slots() + 1;
        if (ahead <= 0) {
            return 0;
        }
        return ahead * state.stayMillis() / figures.slots();
    }

    /**
     * What an engine has to do.
     *
     * @param running requests in its batch
     * @param waiting requests that wait for a place
     * @param contextTokens the context that its batch holds
     * @param unreadTokens prompt tokens sent and not yet read
     * @param unreadMillis the time that reading those takes
     * @param stayMillis how long a request stays in the batch, on average
     * @param pace how much slower than its figures it works, 1 for as published
     */
    public record State(
            int running,
            int waiting,
            double contextTokens,
            double unreadTokens,
            double unreadMillis,
            double stayMillis,
            double pace) {}
}
