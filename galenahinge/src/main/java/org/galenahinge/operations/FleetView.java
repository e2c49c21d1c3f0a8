package org.galenahinge.operations;

import java.util.List;

/**
 * The state of the VMs of the fleet as one entry collected it. Written as JSON under the component names.
 *
 * @param askedEntry the name of the entry that collected it
 * @param vms the VMs
 */
public record FleetView(String askedEntry, List<VmView> vms) {
    /** Copies the list. */
    public FleetView {
        vms = List.copyOf(vms);
    }

    /**
     * One VM.
     *
     * @param vm its name
     * @param kind {@code entry} or {@code upstream}
     * @param address its IP address and port for connections between nodes
     * @param region its region
     * @param failureDomain its failure domain
     * @param reachable whether a report of it was received
     * @param ready whether it is ready to accept requests
     * @param leaving whether it or the platform reports that it is leaving
     * @param serves the key of the weights or the name of the service that it serves, empty when none
     * @param running active requests as it last reported them
     * @param condition the reason for its state, in words
     */
    public record VmView(
            String vm,
            String kind,
            String address,
            String region,
            String failureDomain,
            boolean reachable,
            boolean ready,
            boolean leaving,
            String serves,
            int running,
            String condition) {}
}
