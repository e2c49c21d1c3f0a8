package org.galenahinge.catalog;

import java.util.Objects;

/**
 * A share of a route's requests.
 *
 * @param service the service that gets them
 * @param weight its share, relative to the other backends' weights
 */
public record Backend(String service, double weight) {
    /** Checks the parts. */
    public Backend {
        Objects.requireNonNull(service, "service");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight must not be negative: " + weight);
        }
    }
}
