package org.galenahinge.limit;

import java.util.Objects;

/**
 * Describes a call that asks to be admitted.
 *
 * @param id the call's number at this slot
 * @param organisation who pays for it
 * @param priority its class
 * @param cost its expected work, in any unit that is the same for all calls
 * @param arrivedNanos when it arrived, in nanoseconds
 * @param deadlineNanos when its answer is no longer wanted, in nanoseconds
 */
public record Waiting(
        long id, String organisation, Priority priority, double cost, long arrivedNanos, long deadlineNanos) {
    /** Checks the parts. */
    public Waiting {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(priority, "priority");
        if (!(cost > 0)) {
            throw new IllegalArgumentException("cost must be above 0: " + cost);
        }
    }
}
