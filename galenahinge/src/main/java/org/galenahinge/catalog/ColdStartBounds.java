package org.galenahinge.catalog;

/**
 * How many requests may reach a cold upstream in any second: its rate times the excess, plus the slack.
 *
 * @param excess the factor on the rate of the upstream, at least 0
 * @param slack the number of requests on top, at least 0
 */
public record ColdStartBounds(double excess, double slack) {
    /** The bounds where the settings have none. */
    public static final ColdStartBounds DEFAULT = new ColdStartBounds(1.5, 5);

    /** Rejects values out of range. */
    public ColdStartBounds {
        if (!isValid(excess) || !isValid(slack)) {
            throw new IllegalArgumentException("excess and slack must not be negative: " + excess + ", " + slack);
        }
    }

    private static boolean isValid(double value) {
        return value >= 0 && !Double.isInfinite(value);
    }
}
