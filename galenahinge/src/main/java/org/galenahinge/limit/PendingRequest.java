package org.galenahinge.limit;

import java.util.Objects;

/**
 * A request that waits to be admitted to the upstream.
 *
 * @param id its id, unique at this slot process
 * @param organisation the organisation that pays for it
 * @param priority its priority
 * @param cost its expected work, greater than 0, in any unit that is the same for all requests
 * @param arrivedNanos when it arrived, in nanoseconds
 * @param deadlineNanos its deadline, in nanoseconds
 */
public record PendingRequest(
        long id, String organisation, Priority priority, double cost, long arrivedNanos, long deadlineNanos) {
    /** Rejects null components and a cost that is not positive. */
    public PendingRequest {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(priority, "priority");
        if (!(cost > 0)) {
            throw new IllegalArgumentException("cost must be above 0: " + cost);
        }
    }
}
