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
 * @param confirmedFor how long after it was known to be the newest a configuration may refuse a request for good
 * @param coldStartBounds how many requests may reach a cold upstream
 * @param regionOf returns the region of a failure domain
 */
public record GatewaySettings(
        String failureDomain,
        ServiceRetryBudget.Limits retryBudget,
        Duration versionRollout,
        Duration confirmedFor,
        ColdStartBounds coldStartBounds,
        UnaryOperator<String> regionOf) {
    private static final Duration DEFAULT_CONFIRMED_FOR = Duration.ofSeconds(2);

    /** Rejects null components. */
    public GatewaySettings {
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(retryBudget, "retryBudget");
        Objects.requireNonNull(versionRollout, "versionRollout");
        Objects.requireNonNull(confirmedFor, "confirmedFor");
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
        this(
                failureDomain,
                retryBudget,
                versionRollout,
                DEFAULT_CONFIRMED_FOR,
                ColdStartBounds.DEFAULT,
                UnaryOperator.identity());
    }
}
