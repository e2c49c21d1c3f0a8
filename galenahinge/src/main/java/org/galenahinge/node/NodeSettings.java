package org.galenahinge.node;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.catalog.ColdStartBounds;
import org.galenahinge.placement.ServiceRetryBudget;
import org.galenahinge.wire.WireAddress;

/**
 * The settings of a node. Immutable.
 *
 * @param name the name of this VM
 * @param address the IP address of this VM
 * @param zone the failure domain of this VM
 * @param regions the region of each failure domain, by failure domain
 * @param firstInternalPort the first of four consecutive ports for traffic between nodes and for metrics
 * @param callerAddress the address where an entry listens for callers
 * @param peerAddress the address where an entry listens for other nodes
 * @param seeds addresses of entries to contact while no other entry is known
 * @param upstream the address of the upstream on this VM, for a slot process
 * @param bounds the time bounds that the system keeps
 * @param retryBudget the retry budget of each service, for all entries together
 * @param coldStartBounds how many requests may reach a cold upstream, empty for the default
 */
public record NodeSettings(
        String name,
        String address,
        String zone,
        Map<String, String> regions,
        int firstInternalPort,
        Optional<WireAddress> callerAddress,
        Optional<WireAddress> peerAddress,
        List<WireAddress> seeds,
        Optional<WireAddress> upstream,
        Bounds bounds,
        ServiceRetryBudget.Limits retryBudget,
        Optional<ColdStartBounds> coldStartBounds) {
    /** Checks the components and copies the collections. */
    public NodeSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(bounds, "bounds");
        Objects.requireNonNull(retryBudget, "retryBudget");
        Objects.requireNonNull(coldStartBounds, "coldStartBounds");
        regions = Map.copyOf(regions);
        seeds = List.copyOf(seeds);
    }

    /**
     * Creates settings with the default bounds for cold upstreams.
     *
     * @param name the name of this VM
     * @param address the IP address of this VM
     * @param zone the failure domain of this VM
     * @param regions the region of each failure domain, by failure domain
     * @param firstInternalPort the first of four consecutive ports for traffic between nodes and for metrics
     * @param callerAddress the address where an entry listens for callers
     * @param peerAddress the address where an entry listens for other nodes
     * @param seeds addresses of entries to contact while no other entry is known
     * @param upstream the address of the upstream on this VM, for a slot process
     * @param bounds the time bounds that the system keeps
     * @param retryBudget the retry budget of each service, for all entries together
     */
    public NodeSettings(
            String name,
            String address,
            String zone,
            Map<String, String> regions,
            int firstInternalPort,
            Optional<WireAddress> callerAddress,
            Optional<WireAddress> peerAddress,
            List<WireAddress> seeds,
            Optional<WireAddress> upstream,
            Bounds bounds,
            ServiceRetryBudget.Limits retryBudget) {
        this(
                name,
                address,
                zone,
                regions,
                firstInternalPort,
                callerAddress,
                peerAddress,
                seeds,
                upstream,
                bounds,
                retryBudget,
                Optional.empty());
    }

    /**
     * The time bounds that the system keeps.
     *
     * @param stopTimeout the time from the signal to stop until the process is killed
     * @param versionSwitchTimeout the maximum time from the naming of a version until all new requests run on it
     * @param configurationApplyTime the maximum time from the publication of a configuration until it is in force
     * @param addressCacheTime how long callers may cache an entry's address
     */
    public record Bounds(
            Duration stopTimeout,
            Duration versionSwitchTimeout,
            Duration configurationApplyTime,
            Duration addressCacheTime) {
        /** Checks the components. */
        public Bounds {
            Objects.requireNonNull(stopTimeout, "stopTimeout");
            Objects.requireNonNull(versionSwitchTimeout, "versionSwitchTimeout");
            Objects.requireNonNull(configurationApplyTime, "configurationApplyTime");
            Objects.requireNonNull(addressCacheTime, "addressCacheTime");
        }
    }

    /**
     * Returns the region of a failure domain.
     *
     * @param failureDomain the failure domain
     * @return its region; a failure domain that is not listed is its own region
     */
    public String regionOf(String failureDomain) {
        return regions.getOrDefault(failureDomain, failureDomain);
    }

    /**
     * Returns the UDP port for membership datagrams, the same on every entry.
     *
     * @return the port
     */
    public int membershipPort() {
        return firstInternalPort;
    }

    /**
     * Returns the UDP port for load reports, the same on every node.
     *
     * @return the port
     */
    public int loadPort() {
        return firstInternalPort + 1;
    }

    /**
     * Returns the port where metrics are served, the same on every node.
     *
     * @return the port
     */
    public int metricsPort() {
        return firstInternalPort + 2;
    }

    /** Returns the UDP port of an entry for what the entries tell each other of upstreams, given its first port. */
    static int gossipPort(int firstInternalPort) {
        return firstInternalPort + 3;
    }
}
