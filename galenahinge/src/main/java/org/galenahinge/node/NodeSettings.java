package org.galenahinge.node;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.placement.ServiceRetryBudget;
import org.galenahinge.wire.WireAddress;

/**
 * What a node is told at its start. Immutable.
 *
 * @param name the name of the own VM
 * @param address the IP address of the own VM
 * @param zone its failure domain
 * @param regions the region of each failure domain
 * @param firstInternalPort the first of the ports that nodes use among themselves
 * @param callers where callers connect, for an entry
 * @param nodesListen where other nodes connect, for an entry
 * @param seeds where some entries may be found
 * @param upstream where the upstream on this VM listens, for a slot process
 * @param bounds the times that the system keeps
 * @param repeats the bound on repeats of a service, over all nodes
 */
public record NodeSettings(
        String name,
        String address,
        String zone,
        Map<String, String> regions,
        int firstInternalPort,
        Optional<WireAddress> callers,
        Optional<WireAddress> nodesListen,
        List<WireAddress> seeds,
        Optional<WireAddress> upstream,
        Bounds bounds,
        ServiceRetryBudget.Limits repeats) {
    /** Checks and copies the parts. */
    public NodeSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(nodesListen, "nodesListen");
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(bounds, "bounds");
        Objects.requireNonNull(repeats, "repeats");
        regions = Map.copyOf(regions);
        seeds = List.copyOf(seeds);
    }

    /**
     * The times that the system keeps.
     *
     * @param stopWithin from the signal to stop until the process is killed
     * @param versionWithin from the naming of a version until all requests begin on it
     * @param addressesKept how long callers may keep an address
     */
    public record Bounds(Duration stopWithin, Duration versionWithin, Duration addressesKept) {
        /** Checks the parts. */
        public Bounds {
            Objects.requireNonNull(stopWithin, "stopWithin");
            Objects.requireNonNull(versionWithin, "versionWithin");
            Objects.requireNonNull(addressesKept, "addressesKept");
        }
    }

    /**
     * Returns the region of a failure domain.
     *
     * @param failureDomain the failure domain
     * @return its region; one that is not listed is a region by itself
     */
    public String regionOf(String failureDomain) {
        return regions.getOrDefault(failureDomain, failureDomain);
    }

    /**
     * Returns the port for membership datagrams, the same on every entry.
     *
     * @return the port
     */
    public int membershipPort() {
        return firstInternalPort;
    }

    /**
     * Returns the port for load datagrams, the same on every entry.
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
}
