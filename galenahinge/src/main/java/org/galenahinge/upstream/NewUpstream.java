package org.galenahinge.upstream;

import java.util.Objects;

/**
 * An upstream that has just started, as the slot process on its VM describes it before its entry stands in the store.
 *
 * @param id its name
 * @param service the service that it belongs to
 * @param zone its failure domain
 */
public record NewUpstream(String id, String service, String zone) {
    /** Checks the parts. */
    public NewUpstream {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(zone, "zone");
        if (id.isEmpty()) {
            throw new IllegalArgumentException("id must not be empty");
        }
    }
}
