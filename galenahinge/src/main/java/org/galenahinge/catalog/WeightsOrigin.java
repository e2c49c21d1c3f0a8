package org.galenahinge.catalog;

import java.util.Objects;

/**
 * Where the weights of versions come from.
 *
 * @param address where it listens, as host and port
 * @param zone the failure domain that it stands in, empty where unknown
 */
public record WeightsOrigin(String address, String zone) {
    /** Checks the parts. */
    public WeightsOrigin {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
    }
}
