package org.galenahinge.catalog;

import java.util.Objects;

/**
 * A server that the weights of model versions are fetched from.
 *
 * @param address its address, as host:port
 * @param failureDomain its failure domain, empty if unknown
 */
public record WeightsOrigin(String address, String failureDomain) {
    public WeightsOrigin {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
