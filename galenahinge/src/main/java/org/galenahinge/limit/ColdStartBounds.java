package org.galenahinge.limit;

import java.time.Duration;

/**
 * How many requests may reach a cold upstream in any second: its rate times the excess, plus the slack.
 *
 * @param excess the factor on the rate of the upstream, at least 0
 * @param slack the number of requests on top, at least 0
 */
public record ColdStartBounds(double excess, double slack) {
    /** The bounds where the settings have none. */
    public static final ColdStartBounds DEFAULT = new ColdStartBounds(1.5, 5);

    private static final double WINDOW_SECONDS = 1;

    /** Nodes read the record of an upstream at different times, so that their turns begin that much apart. */
    private static final double START_DISAGREEMENT_SECONDS = 1;

    private static final double MINIMUM_VALIDITY_SECONDS = 0.3;
    private static final double MAXIMUM_VALIDITY_SECONDS = 1.5;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Rejects values out of range. */
    public ColdStartBounds {
        if (!isValid(excess) || !isValid(slack)) {
            throw new IllegalArgumentException("excess and slack must not be negative: " + excess + ", " + slack);
        }
    }

    /**
     * Returns the turns with which no second has more requests than these bounds allow, if all turns that are valid are
     * used at once, and nodes disagree on the start of the turns by up to a second.
     *
     * @param perSecond the requests a second that the upstream tolerates
     * @return turns at that rate, or at a lower one if no shorter validity keeps to the bounds
     */
    public TurnRate turnRate(double perSecond) {
        // One turn more than the rate gives fits into a window that begins with a turn.
        double turns = Math.max(0, perSecond * excess + slack - 1);
        double overlap = WINDOW_SECONDS + START_DISAGREEMENT_SECONDS;
        double longest = perSecond > 0 ? turns / perSecond - overlap : 0;
        double validity = Math.max(MINIMUM_VALIDITY_SECONDS, Math.min(MAXIMUM_VALIDITY_SECONDS, longest));
        double rate = Math.min(perSecond, turns / (overlap + validity));
        return new TurnRate(rate, Duration.ofNanos((long) (validity * NANOS_PER_SECOND)));
    }

    private static boolean isValid(double value) {
        return value >= 0 && !Double.isInfinite(value);
    }
}
