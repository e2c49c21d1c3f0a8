package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import org.galenahinge.placement.RepeatBudget;

/**
 * What bounds the gateway.
 *
 * @param zone the failure domain of the own VM
 * @param repeats the bound on repeats of a service, over all nodes
 * @param versionWithin within which all requests must begin on a version after it was named
 * @param stopWithin how long a graceful stop may take
 */
public record GatewaySettings(String zone, RepeatBudget.Terms repeats, Duration versionWithin, Duration stopWithin) {
    /** Checks the parts. */
    public GatewaySettings {
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(repeats, "repeats");
        Objects.requireNonNull(versionWithin, "versionWithin");
        Objects.requireNonNull(stopWithin, "stopWithin");
    }
}
