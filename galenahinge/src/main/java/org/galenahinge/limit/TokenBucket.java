package org.galenahinge.limit;

import java.util.Optional;

/**
 * Limits a rate: tokens come in at a steady rate, up to a burst. Immutable; time is a parameter.
 *
 * @param ratePerSecond tokens that come in each second
 * @param burst the most tokens held
 * @param tokens the tokens held at {@code atNanos}
 * @param atNanos the time of the last change, in nanoseconds
 */
public record TokenBucket(double ratePerSecond, double burst, double tokens, long atNanos) {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Checks the parts. */
    public TokenBucket {
        if (!(ratePerSecond >= 0) || !(burst > 0)) {
            throw new IllegalArgumentException("rate and burst must be positive: " + ratePerSecond + ", " + burst);
        }
    }

    /**
     * Creates a full bucket.
     *
     * @param ratePerSecond tokens that come in each second
     * @param burst the most tokens held
     * @param nowNanos the time, in nanoseconds
     * @return the bucket
     */
    public static TokenBucket full(double ratePerSecond, double burst, long nowNanos) {
        return new TokenBucket(ratePerSecond, burst, burst, nowNanos);
    }

    /**
     * Takes tokens.
     *
     * @param amount how many
     * @param nowNanos the time, in nanoseconds
     * @return the bucket afterwards, or empty when it holds too few
     */
    public Optional<TokenBucket> take(double amount, long nowNanos) {
        TokenBucket filled = fill(nowNanos);
        if (filled.tokens < amount) {
            return Optional.empty();
        }
        return Optional.of(new TokenBucket(ratePerSecond, burst, filled.tokens - amount, filled.atNanos));
    }

    /**
     * Takes tokens even when too few are held, and so goes into debt.
     *
     * @param amount how many
     * @param nowNanos the time, in nanoseconds
     * @return the bucket afterwards
     */
    public TokenBucket spend(double amount, long nowNanos) {
        TokenBucket filled = fill(nowNanos);
        return new TokenBucket(ratePerSecond, burst, filled.tokens - amount, filled.atNanos);
    }

    /**
     * Tells whether the bucket holds anything.
     *
     * @param nowNanos the time, in nanoseconds
     * @return false while it is empty or in debt
     */
    public boolean hasAny(long nowNanos) {
        return fill(nowNanos).tokens > 0;
    }

    /**
     * Adds tokens beside the steady rate, up to the burst.
     *
     * @param amount how many
     * @return the bucket afterwards
     */
    public TokenBucket add(double amount) {
        return new TokenBucket(ratePerSecond, burst, Math.min(burst, tokens + amount), atNanos);
    }

    /**
     * Tells how long until an amount can be taken.
     *
     * @param amount how many tokens, at most the burst
     * @param nowNanos the time, in nanoseconds
     * @return nanoseconds, 0 when it can be taken now
     */
    public long nanosUntil(double amount, long nowNanos) {
        double missing = amount - fill(nowNanos).tokens;
        if (missing <= 0) {
            return 0;
        }
        return (long) Math.ceil(missing / ratePerSecond * NANOS_PER_SECOND);
    }

    private TokenBucket fill(long nowNanos) {
        long elapsed = Math.max(0, nowNanos - atNanos);
        double filled = Math.min(burst, tokens + elapsed / NANOS_PER_SECOND * ratePerSecond);
        return new TokenBucket(ratePerSecond, burst, filled, Math.max(atNanos, nowNanos));
    }
}
