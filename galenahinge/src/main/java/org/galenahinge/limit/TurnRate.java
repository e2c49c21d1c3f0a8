package org.galenahinge.limit;

import java.time.Duration;
import java.util.Objects;

/**
 * How fast the turns of a limit follow each other, and how long a turn may be used.
 *
 * @param perSecond the turns a second of all nodes together, at least 0
 * @param validity the time after its beginning in which a turn may be used
 */
public record TurnRate(double perSecond, Duration validity) {
    /** Rejects values out of range. */
    public TurnRate {
        Objects.requireNonNull(validity, "validity");
        if (!(perSecond >= 0) || Double.isInfinite(perSecond) || validity.isNegative()) {
            throw new IllegalArgumentException(
                    "rate and validity must not be negative: " + perSecond + ", " + validity);
        }
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
