package org.galenahinge.limit;

/**
 * Bounds retries to a share of first attempts, so that retries cannot multiply an overload. Immutable.
 *
 * @param bucket holds one token for each retry allowed
 */
public record RetryBudget(TokenBucket bucket) {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MOST_SAVED_RETRIES = 20;

    /**
     * Creates a budget with its burst saved.
     *
     * @return the budget
     */
    public static RetryBudget create() {
        return new RetryBudget(TokenBucket.full(0, MOST_SAVED_RETRIES, 0));
    }

    /**
     * Counts a first attempt.
     *
     * @return the budget afterwards
     */
    public RetryBudget request() {
        return new RetryBudget(bucket.add(RETRIES_PER_REQUEST));
    }

    /**
     * Takes one retry.
     *
     * @return what became of it
     */
    public Taking retry() {
        return bucket.take(1, 0)
                .map(rest -> new Taking(new RetryBudget(rest), true))
                .orElseGet(() -> new Taking(this, false));
    }

    /**
     * The result of taking a retry.
     *
     * @param budget the budget afterwards
     * @param allowed whether the retry may be made
     */
    public record Taking(RetryBudget budget, boolean allowed) {}
}
