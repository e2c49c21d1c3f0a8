package org.galenahinge.slot;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.ticket.TicketGroup;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.ticket.TicketGroup.ServiceWorkload;
import org.galenahinge.wire.generated.Peer;

/**
 * The group and workload that the tickets in force assign to this VM.
 *
 * @param ticketNumber the number of the assigning ticket, which is also the fencing number of load commands
 * @param group the group that this VM belongs to
 * @param peers the VMs of the group that are believed to be up, with their addresses
 */
public record Assignment(long ticketNumber, TicketGroup group, List<Peer> peers) {
    /** Checks the group and copies the list of peers. */
    public Assignment {
        Objects.requireNonNull(group, "group");
        peers = List.copyOf(peers);
    }

    /**
     * Returns the model whose weights the engine is to load.
     *
     * @return the model, or empty for a plain service
     */
    public Optional<ModelWorkload> model() {
        return group.workload() instanceof ModelWorkload model ? Optional.of(model) : Optional.empty();
    }

    /**
     * Returns the service that the upstream provides.
     *
     * @return the service, or empty for a model
     */
    public Optional<ServiceWorkload> service() {
        return group.workload() instanceof ServiceWorkload service ? Optional.of(service) : Optional.empty();
    }
}
