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
    void returnsTheTimeUntilTokensAreAvailable() {
        TokenBucket empty = TokenBucket.full(10, 5, 0).take(5, 0).orElseThrow();

        assertThat(empty.nanosUntilAvailable(2, 0)).isEqualTo(SECOND / 5);
        assertThat(empty.nanosUntilAvailable(2, SECOND)).isZero();
    }

    @Test
    void repaysDebtBeforeTokensAreAvailable() {
        TokenBucket indebted = TokenBucket.full(10, 5, 0).spend(15, 0);

        assertThat(indebted.hasTokens(SECOND / 2)).isFalse();
        assertThat(indebted.hasTokens(SECOND + SECOND / 10)).isTrue();
    }

    @Test
    void ignoresAClockThatGoesBackwards() {
        TokenBucket bucket = TokenBucket.full(10, 5, SECOND).take(5, SECOND).orElseThrow();

        assertThat(bucket.take(1, 0)).isEmpty();
    }

    @Test
    void limitsRetriesToATenthOfTheRequests() {
        RetryBudget budget = RetryBudget.create();
        int retries = 0;
        for (int request = 0; request < 1_000; request++) {
            RetryBudget.RetryDecision decision = budget.recordRequest().tryRetry();
            budget = decision.budget();
            retries += decision.allowed() ? 1 : 0;
        }

        assertThat(retries).isLessThanOrEqualTo(120);
    }
}
