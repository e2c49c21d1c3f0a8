package org.galenahinge.catalog;

import java.util.Objects;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight its share relative to the weights of the route's other backends, at least 0
 */
public record Backend(String service, double weight) {
    /** Rejects a negative or NaN weight. */
    public Backend {
        Objects.requireNonNull(service, "service");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight must not be negative: " + weight);
        }
    }
}
