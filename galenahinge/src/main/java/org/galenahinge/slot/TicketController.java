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

/**
 * Merges the tickets that entries deliver and derives the assignment of this VM from them. Deliveries are handled on
 * one thread; nothing is read from the platform.
 */
final class TicketController implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(TicketController.class);
    private static final int EVENT_QUEUE_CAPACITY = 1_024;
    private static final Duration MINIMUM_TICK_INTERVAL = Duration.ofSeconds(1);
    private static final Duration TICK_INTERVAL = Duration.ofMinutes(1);

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
        this.controller = Controller.start(
                "tickets", EVENT_QUEUE_CAPACITY, MINIMUM_TICK_INTERVAL, this::handleDelivery, () -> TICK_INTERVAL);
    }

    static TicketController start(String vm, DecisionLog decisions, Consumer<Optional<Assignment>> listener) {
        return new TicketController(
                Objects.requireNonNull(vm, "vm"),
                Objects.requireNonNull(decisions, "decisions"),
                Objects.requireNonNull(listener, "listener"));
    }

    /** Queues a delivery; when the queue is full, it returns false and entries deliver again after the next digest. */
    boolean offer(TicketDelivery delivery) {
        return controller.offer(delivery);
    }

    /** Returns the numbers of the tickets held, which confirm deliveries to entries. */
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

    private void handleDelivery(TicketDelivery delivery) {
        for (TicketContent content : delivery.getTicketsList()) {
            merge(content.getJson().toStringUtf8());
        }
        if (delivery.getPeersCount() > 0) {
            peers = delivery.getPeersList();
        }
        digest = state.effectiveGroups().stream().map(TicketFrames::digestOf).toList();
        notifyIfChanged();
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

    private void notifyIfChanged() {
        Optional<Assignment> next =
                state.groupOf(vm).map(found -> new Assignment(found.ticket().number(), found.content(), peers));
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
