package org.galenahinge.limit;

/**
 * Limits retries to a share of the first attempts, so that retries cannot multiply an overload. Immutable.
 *
 * @param bucket holds one token for each retry allowed
 */
public record RetryBudget(TokenBucket bucket) {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MAXIMUM_SAVED_RETRIES = 20;

    /**
     * Creates a budget with the maximum number of saved retries.
     *
     * @return the budget
     */
    public static RetryBudget create() {
        return new RetryBudget(TokenBucket.full(0, MAXIMUM_SAVED_RETRIES, 0));
    }

    /**
     * Counts a first attempt.
     *
     * @return the new budget
     */
    public RetryBudget recordRequest() {
        return new RetryBudget(bucket.add(RETRIES_PER_REQUEST));
    }

    /**
     * Consumes one retry, if any remains.
     *
     * @return the new budget and whether the retry is allowed
     */
    public RetryDecision tryRetry() {
        return bucket.take(1, 0)
                .map(remaining -> new RetryDecision(new RetryBudget(remaining), true))
                .orElseGet(() -> new RetryDecision(this, false));
    }

    /**
     * The result of {@link #tryRetry}.
     *
     * @param budget the new budget
     * @param allowed whether the retry may be sent
     */
    public record RetryDecision(RetryBudget budget, boolean allowed) {}
}
