package org.galenahinge.slot;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.galenahinge.concurrent.Controller;
import org.galenahinge.log.DecisionLog;
import org.galenahinge.ticket.Ticket;
import org.galenahinge.ticket.TicketResult;
import org.galenahinge.ticket.TicketState;
import org.galenahinge.wire.TicketFrames;
import org.galenahinge.wire.generated.GroupDigest;
import org.galenahinge.wire.generated.Peer;
import org.galenahinge.wire.generated.TicketContent;
import org.galenahinge.wire.generated.TicketDelivery;
import org.jboss.logging.Logger;

/** Holds the tickets that concern this VM and says what it should hold. One thread; reads nothing from the platform. */
final class TicketController implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(TicketController.class);
    private static final int RING = 1_024;
    private static final Duration TICK = Duration.ofSeconds(1);
    private static final Duration IDLE = Duration.ofMinutes(1);

    private final String vm;
    private final DecisionLog decisions;
    private final Consumer<Optional<Assignment>> listener;
    private final Controller<TicketDelivery> controller;
    private TicketState state = TicketState.empty();
    private List<Peer> peers = List.of();
    private volatile List<GroupDigest> digest = List.of();
    private volatile Optional<Assignment> assignment = Optional.empty();

    private TicketController(String vm, DecisionLog decisions, Consumer<Optional<Assignment>> listener) {
        this.vm = vm;
        this.decisions = decisions;
        this.listener = listener;
        this.controller = Controller.start("tickets", RING, TICK, this::deliver, () -> IDLE);
    }

    static TicketController start(String vm, DecisionLog decisions, Consumer<Optional<Assignment>> listener) {
        return new TicketController(
                Objects.requireNonNull(vm, "vm"),
                Objects.requireNonNull(decisions, "decisions"),
                Objects.requireNonNull(listener, "listener"));
    }

    /** Takes in a delivery; a refused one comes again with the next digest. */
    boolean offer(TicketDelivery delivery) {
        return controller.offer(delivery);
    }

    /** The numbers held, as they are confirmed to entries. */
    List<GroupDigest> digest() {
        return digest;
    }

    Optional<Assignment> assignment() {
        return assignment;
    }

    @Override
    public void close() {
        controller.close();
    }

    private void deliver(TicketDelivery delivery) {
        for (TicketContent content : delivery.getTicketsList()) {
            merge(content.getJson().toStringUtf8());
        }
        if (delivery.getPeersCount() > 0) {
            peers = delivery.getPeersList();
        }
        digest = state.effectiveGroups().stream().map(TicketFrames::digestOf).toList();
        announce();
    }

    private void merge(String json) {
        TicketResult result = Ticket.parse(json);
        if (result instanceof TicketResult.Valid valid) {
            TicketState.Merge merge = state.merge(valid.ticket());
            state = merge.state();
            return;
        }
        LOG.warnf("an entry delivered an invalid ticket: %s", result);
    }

    private void announce() {
        Optional<Assignment> next =
                state.groupOf(vm).map(held -> new Assignment(held.ticket().number(), held.content(), peers));
        if (next.equals(assignment)) {
            return;
        }
        boolean sameTicket = next.map(Assignment::ticketNumber).equals(assignment.map(Assignment::ticketNumber));
        assignment = next;
        if (!sameTicket) {
            String group = next.map(value -> value.group().group()).orElse("");
            long number = next.map(Assignment::ticketNumber).orElse(0L);
            decisions.record("ticket-" + number, "assign", List.of(), group, "the highest ticket that names this VM");
        }
        listener.accept(next);
    }
}
