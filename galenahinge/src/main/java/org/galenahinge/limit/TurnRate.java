package org.galenahinge.limit;

import java.time.Duration;
import java.util.Objects;
import org.galenahinge.catalog.ColdStartBounds;

/**
 * How fast the turns of a limit follow each other, and how long a turn may be used.
 *
 * @param perSecond the turns a second of all nodes together, at least 0
 * @param validity the time after its beginning in which a turn may be used
 */
public record TurnRate(double perSecond, Duration validity) {
    private static final double WINDOW_SECONDS = 1;

    /** Nodes read the record of an upstream at different times, so that their turns begin that much apart. */
    private static final double START_DISAGREEMENT_SECONDS = 1;

    private static final double MINIMUM_VALIDITY_SECONDS = 0.3;
    private static final double MAXIMUM_VALIDITY_SECONDS = 1.5;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Rejects values out of range. */
    public TurnRate {
        Objects.requireNonNull(validity, "validity");
        if (!(perSecond >= 0) || Double.isInfinite(perSecond) || validity.isNegative()) {
            throw new IllegalArgumentException(
                    "rate and validity must not be negative: " + perSecond + ", " + validity);
        }
    }

    /**
     * Returns the turns at a cold upstream with which no second has more requests than the bounds allow, if all turns that are
     * valid are used at once, and nodes disagree on the start of the turns by up to a second.
     *
     * @param bounds how many requests may reach the upstream
     * @param perSecond the requests a second that the upstream tolerates
     * @return turns at that rate, or at a lower one if no validity that is long enough keeps to the bounds
     */
    public static TurnRate within(ColdStartBounds bounds, double perSecond) {
        // One turn more than the rate gives fits into a window that begins with a turn.
        double turns = Math.max(0, perSecond * bounds.excess() + bounds.slack() - 1);
        double overlap = WINDOW_SECONDS + START_DISAGREEMENT_SECONDS;
        double longest = perSecond > 0 ? turns / perSecond - overlap : 0;
        double validity = Math.max(MINIMUM_VALIDITY_SECONDS, Math.min(MAXIMUM_VALIDITY_SECONDS, longest));
        double rate = Math.min(perSecond, turns / (overlap + validity));
        return new TurnRate(rate, Duration.ofNanos((long) (validity * NANOS_PER_SECOND)));
    }

    /**
     * Returns the lower of two rates, with the shorter validity of both.
     *
     * @param other another rate
     * @return a rate that keeps to both
     */
    TurnRate lower(TurnRate other) {
        Duration shorter = validity.compareTo(other.validity) < 0 ? validity : other.validity;
        return new TurnRate(Math.min(perSecond, other.perSecond), shorter);
    }
}
