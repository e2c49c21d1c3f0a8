package org.galenahinge.operations;

import java.util.List;

/**
 * Shows the VMs of the fleet as the entry asked sees them.
 *
 * @param askedEntry the entry that was asked
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
     * @param address its IP address and port for links
     * @param region its region
     * @param failureDomain its failure domain
     * @param reachable whether an entry has a link to it now
     * @param ready whether it takes work
     * @param leaving whether it or the platform says that it leaves
     * @param serves the weights or the service that it serves, empty when none
     * @param running calls that run there, as last reported
     * @param condition why it serves or does not
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
