package org.galenahinge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TokenBucketTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void refillsAtItsRateUpToItsBurst() {
        TokenBucket empty = TokenBucket.full(10, 5, 0).take(5, 0).orElseThrow();

        assertThat(empty.take(1, SECOND / 20)).isEmpty();
        assertThat(empty.take(1, SECOND / 10)).isPresent();
        assertThat(empty.take(6, 100 * SECOND)).isEmpty();
    }

    @Test
    void saysHowLongToWait() {
        TokenBucket empty = TokenBucket.full(10, 5, 0).take(5, 0).orElseThrow();

        assertThat(empty.nanosUntil(2, 0)).isEqualTo(SECOND / 5);
        assertThat(empty.nanosUntil(2, SECOND)).isZero();
    }

    @Test
    void paysDebtBeforeItHoldsAnythingAgain() {
        TokenBucket indebted = TokenBucket.full(10, 5, 0).spend(15, 0);

        assertThat(indebted.hasAny(SECOND / 2)).isFalse();
        assertThat(indebted.hasAny(SECOND + SECOND / 10)).isTrue();
    }

    @Test
    void doesNotRunBackwardsWithTheClock() {
        TokenBucket bucket = TokenBucket.full(10, 5, SECOND).take(5, SECOND).orElseThrow();

        assertThat(bucket.take(1, 0)).isEmpty();
    }

    @Test
    void boundsRetriesToATenthOfRequests() {
        RetryBudget budget = RetryBudget.create();
        int retries = 0;
        for (int request = 0; request < 1_000; request++) {
            RetryBudget.Taking taking = budget.request().retry();
            budget = taking.budget();
            retries += taking.allowed() ? 1 : 0;
        }

        assertThat(retries).isLessThanOrEqualTo(120);
    }
}
