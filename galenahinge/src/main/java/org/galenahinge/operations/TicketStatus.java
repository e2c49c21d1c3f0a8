package org.galenahinge.operations;

import java.util.List;

/**
 * The state of a ticket: which VMs (the {@code sites}) have confirmed that they hold it. No VM counts as confirmed
 * unless it reported so. Written as JSON under the component names.
 *
 * @param number the ticket's number
 * @param state {@code unknown}, {@code refused}, {@code spreading}, {@code in-force} or {@code superseded}
 * @param detail a one-line description of that state
 * @param groups the groups that the ticket changes
 * @param sites the state of every VM that must hold the ticket
 * @param confirmed the number of VMs that have confirmed it
 */
public record TicketStatus(
        long number, String state, String detail, List<GroupStatus> groups, List<VmStatus> sites, int confirmed) {
    /** Copies the lists. */
    public TicketStatus {
        groups = List.copyOf(groups);
        sites = List.copyOf(sites);
    }

    /**
     * Tells whether every VM has confirmed the ticket.
     *
     * @return whether the ticket, or a later one of the same groups, is in force everywhere
     */
    public boolean isInForce() {
        return !sites.isEmpty() && confirmed == sites.size() && !state.equals("refused");
    }

    /**
     * One group of the ticket.
     *
     * @param group its name
     * @param numberInForce the number of the ticket in force for it at the entry that built this status, 0 when none
     */
    public record GroupStatus(String group, long numberInForce) {}

    /**
     * The state of the ticket on one VM.
     *
     * @param vm its name
     * @param kind {@code entry} or {@code upstream}
     * @param region its region
     * @param failureDomain its failure domain
     * @param confirmed whether it reported that it holds the ticket or a later one
     * @param reason the reason why it counts as confirmed or not
     */
    public record VmStatus(
            String vm, String kind, String region, String failureDomain, boolean confirmed, String reason) {}
}
