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

/** Hands each frame that comes to an entry to the controller whose duty it is. */
final class EntryFrames implements WireHandler {
    private final Hello hello;
    private final ConnectionRegistry links;
    private final Duties duties;

    EntryFrames(Hello hello, ConnectionRegistry links, Duties duties) {
        this.hello = Objects.requireNonNull(hello, "hello");
        this.links = Objects.requireNonNull(links, "links");
        this.duties = Objects.requireNonNull(duties, "duties");
    }

    /** Where frames go. */
    record Duties(TicketHearer tickets, SlotHearer slots, Consumer<WireConnection> closed, Supplier<Report> report) {}

    /** Hears what concerns tickets. */
    @FunctionalInterface
    interface TicketHearer {
        void heard(TicketEvent event);
    }

    /** Hears what slot processes say of themselves. */
    @FunctionalInterface
    interface SlotHearer {
        void heard(WireConnection link, SlotState state);
    }

    @Override
    public void opened(WireConnection link) {
        links.add(link);
        link.send(Frame.newBuilder().setHello(hello).build());
    }

    @Override
    public void received(WireConnection link, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> links.recordHello(link, frame.getHello());
            case TICKET_DIGEST -> duties.tickets().heard(new TicketEvent.Compared(link, frame.getTicketDigest()));
            case TICKET_REQUEST -> duties.tickets().heard(new TicketEvent.Asked(link, frame));
            case TICKET_DELIVERY -> duties.tickets().heard(new TicketEvent.Delivered(frame.getTicketDelivery()));
            case SLOT_STATE -> duties.slots().heard(link, frame.getSlotState());
            case REPORT_REQUEST ->
                link.reply(frame, Frame.newBuilder().setReport(duties.report().get()));
            case PROBE ->
                link.reply(
                        frame,
                        Frame.newBuilder()
                                .setProbeAnswer(ProbeAnswer.newBuilder().setIncarnation(hello.getIncarnation())));
            default -> link.close();
        }
    }

    @Override
    public void closed(WireConnection link) {
        links.remove(link);
        duties.closed().accept(link);
    }
}
