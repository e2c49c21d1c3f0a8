package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import org.galenahinge.placement.ServiceRetryBudget;

/**
 * What bounds the gateway.
 *
 * @param zone the failure domain of the own VM
 * @param repeats the bound on repeats of a service, over all nodes
 * @param versionWithin within which all requests must begin on a version after it was named
 */
public record GatewaySettings(String zone, ServiceRetryBudget.Limits repeats, Duration versionWithin) {
    /** Checks the parts. */
    public GatewaySettings {
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(repeats, "repeats");
        Objects.requireNonNull(versionWithin, "versionWithin");
    }
}
