package org.galenahinge.gateway;

import java.time.Duration;

/** Says when a caller that was refused should come back. */
final class ReturnTime {
    private static final Duration LEAST_WHEN_FULL = Duration.ofMillis(400);

    /** Those who come back are spread over three times the least. */
    private static final double SPREAD = 2;

    /** Callers come back after at most this share of their time, so longer waits would not be kept. */
    private static final double LONGEST_SHARE = 1.0 / 3;

    private static final double LEAST_OF_LONGEST = 0.75;

    private ReturnTime() {}

    /** Places come free all the time: soon, spread so that those who come back find room. */
    static Duration whenFull(double draw) {
        return Duration.ofMillis((long) (LEAST_WHEN_FULL.toMillis() * (1 + SPREAD * draw)));
    }

    /** An outage lasts for seconds: a caller with one more try is best served late in the time that it has left. */
    static Duration afterOutage(Duration timeLeft, double draw) {
        double share = LONGEST_SHARE * (LEAST_OF_LONGEST + (1 - LEAST_OF_LONGEST) * draw);
        return Duration.ofMillis((long) (timeLeft.toMillis() * share));
    }
}
