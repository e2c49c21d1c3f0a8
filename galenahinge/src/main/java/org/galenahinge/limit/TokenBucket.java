package org.galenahinge.limit;

import java.util.Optional;

/**
 * Limits a rate: tokens are added at a steady rate, up to a burst. Immutable; time is a parameter.
 *
 * @param ratePerSecond tokens added per second, not negative
 * @param burst maximum number of tokens, greater than 0
 * @param tokens the tokens available at {@code atNanos}; negative while in debt
 * @param atNanos the time of the last change, in nanoseconds
 */
public record TokenBucket(double ratePerSecond, double burst, double tokens, long atNanos) {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Rejects a negative rate and a burst that is not positive. */
    public TokenBucket {
        if (!(ratePerSecond >= 0) || !(burst > 0)) {
            throw new IllegalArgumentException("rate and burst must be positive: " + ratePerSecond + ", " + burst);
        }
    }

    /**
     * Creates a full bucket.
     *
     * @param ratePerSecond tokens added per second, not negative
     * @param burst maximum number of tokens, greater than 0
     * @param nowNanos the time, in nanoseconds
     * @return the bucket
     */
    public static TokenBucket full(double ratePerSecond, double burst, long nowNanos) {
        return new TokenBucket(ratePerSecond, burst, burst, nowNanos);
    }

    /**
     * Takes tokens, if enough are available.
     *
     * @param amount number of tokens
     * @param nowNanos the time, in nanoseconds
     * @return the new bucket, or empty if too few tokens are available
     */
    public Optional<TokenBucket> take(double amount, long nowNanos) {
        TokenBucket refilled = refill(nowNanos);
        if (refilled.tokens < amount) {
            return Optional.empty();
        }
        return Optional.of(new TokenBucket(ratePerSecond, burst, refilled.tokens - amount, refilled.atNanos));
    }

    /**
     * Takes tokens even if too few are available, which leaves the bucket in debt.
     *
     * @param amount number of tokens
     * @param nowNanos the time, in nanoseconds
     * @return the new bucket
     */
    public TokenBucket spend(double amount, long nowNanos) {
        TokenBucket refilled = refill(nowNanos);
        return new TokenBucket(ratePerSecond, burst, refilled.tokens - amount, refilled.atNanos);
    }

    /**
     * Returns whether any token is available.
     *
     * @param nowNanos the time, in nanoseconds
     * @return false while it is empty or in debt
     */
    public boolean hasTokens(long nowNanos) {
        return refill(nowNanos).tokens > 0;
    }

    /**
     * Adds tokens in addition to the steady rate, up to the burst.
     *
     * @param amount number of tokens
     * @return the new bucket
     */
    public TokenBucket add(double amount) {
        return new TokenBucket(ratePerSecond, burst, Math.min(burst, tokens + amount), atNanos);
    }

    /**
     * Returns the time until an amount of tokens is available.
     *
     * @param amount number of tokens, at most the burst
     * @param nowNanos the time, in nanoseconds
     * @return nanoseconds, 0 if the tokens are available now
     */
    public long nanosUntilAvailable(double amount, long nowNanos) {
        double missing = amount - refill(nowNanos).tokens;
        if (missing <= 0) {
            return 0;
        }
        return (long) Math.ceil(missing / ratePerSecond * NANOS_PER_SECOND);
    }

    private TokenBucket refill(long nowNanos) {
        long elapsed = Math.max(0, nowNanos - atNanos);
        double refilled = Math.min(burst, tokens + elapsed / NANOS_PER_SECOND * ratePerSecond);
        return new TokenBucket(ratePerSecond, burst, refilled, Math.max(atNanos, nowNanos));
    }
}
