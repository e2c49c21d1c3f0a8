package org.galenahinge.catalog;

import java.util.Objects;

/**
 * Where the weights of versions come from.
 *
 * @param address where it listens, as host and port
 * @param megabitsPerSecond what its link carries
 */
public record WeightsOrigin(String address, double megabitsPerSecond) {
    /** Checks the parts. */
    public WeightsOrigin {
        Objects.requireNonNull(address, "address");
    }
}
