package org.galenahinge.slot;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.ticket.TicketGroup;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.ticket.TicketGroup.ServiceWorkload;
import org.galenahinge.wire.generated.Peer;

/**
 * Says what this VM should hold, by the tickets in force here.
 *
 * @param ticketNumber the number of the ticket that says so, which also fences orders
 * @param group the group that this VM belongs to
 * @param peers the VMs of the group that are believed to be up, with their addresses
 */
public record Assignment(long ticketNumber, TicketGroup group, List<Peer> peers) {
    /** Checks and copies the parts. */
    public Assignment {
        Objects.requireNonNull(group, "group");
        peers = List.copyOf(peers);
    }

    /**
     * Returns the model to hold.
     *
     * @return the model, or empty for a plain service
     */
    public Optional<ModelWorkload> model() {
        return group.workload() instanceof ModelWorkload model ? Optional.of(model) : Optional.empty();
    }

    /**
     * Returns the service to stand before.
     *
     * @return the service, or empty for a model
     */
    public Optional<ServiceWorkload> service() {
        return group.workload() instanceof ServiceWorkload service ? Optional.of(service) : Optional.empty();
    }
}
