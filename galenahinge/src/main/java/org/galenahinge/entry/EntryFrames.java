package org.galenahinge.entry;

import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenahinge.wire.LinkRegistry;
import org.galenahinge.wire.WireHandler;
import org.galenahinge.wire.WireLink;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Hello;
import org.galenahinge.wire.generated.ProbeAnswer;
import org.galenahinge.wire.generated.Report;
import org.galenahinge.wire.generated.SlotState;

/** Hands each frame that comes to an entry to the controller whose duty it is. */
final class EntryFrames implements WireHandler {
    private final Hello hello;
    private final LinkRegistry links;
    private final Duties duties;

    EntryFrames(Hello hello, LinkRegistry links, Duties duties) {
        this.hello = Objects.requireNonNull(hello, "hello");
        this.links = Objects.requireNonNull(links, "links");
        this.duties = Objects.requireNonNull(duties, "duties");
    }

    /** Where frames go. */
    record Duties(TicketHearer tickets, SlotHearer slots, Consumer<WireLink> closed, Supplier<Report> report) {}

    /** Hears what concerns tickets. */
    @FunctionalInterface
    interface TicketHearer {
        void heard(TicketEvent event);
    }

    /** Hears what slot processes say of themselves. */
    @FunctionalInterface
    interface SlotHearer {
        void heard(WireLink link, SlotState state);
    }

    @Override
    public void opened(WireLink link) {
        links.add(link);
        link.send(Frame.newBuilder().setHello(hello).build());
    }

    @Override
    public void received(WireLink link, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> links.greet(link, frame.getHello());
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
    public void closed(WireLink link) {
        links.remove(link);
        duties.closed().accept(link);
    }
}
