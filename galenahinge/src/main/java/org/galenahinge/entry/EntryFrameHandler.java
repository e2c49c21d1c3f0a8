package org.galenahinge.entry;

import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenahinge.wire.ConnectionRegistry;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.WireHandler;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Hello;
import org.galenahinge.wire.generated.ProbeAnswer;
import org.galenahinge.wire.generated.Report;
import org.galenahinge.wire.generated.SlotState;

/** Dispatches each frame that an entry receives to the component that handles it. */
final class EntryFrameHandler implements WireHandler {
    private final Hello hello;
    private final ConnectionRegistry registry;
    private final Handlers handlers;

    EntryFrameHandler(Hello hello, ConnectionRegistry registry, Handlers handlers) {
        this.hello = Objects.requireNonNull(hello, "hello");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.handlers = Objects.requireNonNull(handlers, "handlers");
    }

    /**
     * The components that frames are dispatched to.
     *
     * @param tickets handles frames about tickets
     * @param slots handles the state reports of slot processes
     * @param closed handles closed connections
     * @param report returns this entry's status report
     */
    record Handlers(
            TicketEventHandler tickets,
            SlotStateHandler slots,
            Consumer<WireConnection> closed,
            Supplier<Report> report) {}

    /** Handles events about tickets. */
    @FunctionalInterface
    interface TicketEventHandler {
        void handle(TicketEvent event);
    }

    /** Handles the state reports of slot processes. */
    @FunctionalInterface
    interface SlotStateHandler {
        void handle(WireConnection connection, SlotState state);
    }

    @Override
    public void opened(WireConnection connection) {
        registry.add(connection);
        connection.send(Frame.newBuilder().setHello(hello).build());
    }

    @Override
    public void received(WireConnection connection, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> registry.recordHello(connection, frame.getHello());
            case TICKET_DIGEST ->
                handlers.tickets().handle(new TicketEvent.DigestReceived(connection, frame.getTicketDigest()));
            case TICKET_REQUEST -> handlers.tickets().handle(new TicketEvent.TicketsRequested(connection, frame));
            case TICKET_DELIVERY ->
                handlers.tickets().handle(new TicketEvent.TicketsDelivered(frame.getTicketDelivery()));
            case SLOT_STATE -> handlers.slots().handle(connection, frame.getSlotState());
            case REPORT_REQUEST ->
                connection.reply(
                        frame, Frame.newBuilder().setReport(handlers.report().get()));
            case PROBE ->
                connection.reply(
                        frame,
                        Frame.newBuilder()
                                .setProbeAnswer(ProbeAnswer.newBuilder().setIncarnation(hello.getIncarnation())));
            default -> connection.close();
        }
    }

    @Override
    public void closed(WireConnection connection) {
        registry.remove(connection);
        handlers.closed().accept(connection);
    }
}
