package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.function.UnaryOperator;
import org.galenahinge.catalog.ColdStartBounds;
import org.galenahinge.placement.ServiceRetryBudget;

/**
 * The settings of a gateway.
 *
 * @param failureDomain the failure domain of this VM
 * @param retryBudget the limit on retries of each service, over all nodes
 * @param versionRollout how long after a version is named all requests must start on it, at the latest
 * @param coldStartBounds how many requests may reach a cold upstream
 * @param regionOf returns the region of a failure domain
 */
public record GatewaySettings(
        String failureDomain,
        ServiceRetryBudget.Limits retryBudget,
        Duration versionRollout,
        ColdStartBounds coldStartBounds,
        UnaryOperator<String> regionOf) {
    /** Rejects null components. */
    public GatewaySettings {
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(retryBudget, "retryBudget");
        Objects.requireNonNull(versionRollout, "versionRollout");
        Objects.requireNonNull(coldStartBounds, "coldStartBounds");
        Objects.requireNonNull(regionOf, "regionOf");
    }

    /**
     * Creates settings with the default bounds for cold upstreams, where each failure domain is its own region.
     *
     * @param failureDomain the failure domain of this VM
     * @param retryBudget the limit on retries of each service, over all nodes
     * @param versionRollout how long after a version is named all requests must start on it, at the latest
     */
    public GatewaySettings(String failureDomain, ServiceRetryBudget.Limits retryBudget, Duration versionRollout) {
        this(failureDomain, retryBudget, versionRollout, ColdStartBounds.DEFAULT, UnaryOperator.identity());
    }
}
