package org.galenahinge.operations;

import java.util.List;

/**
 * Says how far a ticket is in force. It never claims more than sites have confirmed.
 *
 * @param number the ticket's number
 * @param state {@code unknown}, {@code refused}, {@code spreading}, {@code in-force} or {@code superseded}
 * @param detail one line on that state
 * @param groups the groups that the ticket touches
 * @param sites every site that must hold the ticket
 * @param confirmed how many sites have confirmed it
 */
public record TicketStatus(
        long number, String state, String detail, List<GroupStatus> groups, List<SiteStatus> sites, int confirmed) {
    /** Copies the lists. */
    public TicketStatus {
        groups = List.copyOf(groups);
        sites = List.copyOf(sites);
    }

    /**
     * Tells whether every site has confirmed.
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
     * @param numberInForce the number of the ticket in force for it at the entry asked
     */
    public record GroupStatus(String group, long numberInForce) {}

    /**
     * One site.
     *
     * @param vm its VM
     * @param kind {@code entry} or {@code upstream}
     * @param region its region
     * @param failureDomain its failure domain
     * @param confirmed whether it has said that it holds the ticket or a later one
     * @param reason why it counts as confirmed or not
     */
    public record SiteStatus(
            String vm, String kind, String region, String failureDomain, boolean confirmed, String reason) {}
}
