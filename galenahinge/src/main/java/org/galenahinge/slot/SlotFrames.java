package org.galenahinge.slot;

import java.util.Objects;
import org.galenahinge.wire.ConnectionRegistry;
import org.galenahinge.wire.Peers;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.WireHandler;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Hello;
import org.galenahinge.wire.generated.ProbeAnswer;
import org.galenahinge.wire.generated.SlotState;

/** Hands each frame that comes to a slot process to the controller whose duty it is. */
final class SlotFrames implements WireHandler {
    private final Hello hello;
    private final ConnectionRegistry links;
    private final CallController calls;
    private final TicketController tickets;
    private final WeightsController weights;
    private final UploadController uploads;
    private final SlotStatus status;

    SlotFrames(
            Hello hello,
            ConnectionRegistry links,
            CallController calls,
            TicketController tickets,
            WeightsController weights,
            UploadController uploads,
            SlotStatus status) {
        this.hello = Objects.requireNonNull(hello, "hello");
        this.links = links;
        this.calls = calls;
        this.tickets = tickets;
        this.weights = weights;
        this.uploads = uploads;
        this.status = status;
    }

    @Override
    public void opened(WireConnection link) {
        links.add(link);
        link.send(Frame.newBuilder().setHello(hello).build());
    }

    @Override
    public void received(WireConnection link, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> greet(link, frame.getHello());
            case CALL_START -> calls.arrive(link, frame.getCorrelation(), frame.getCallStart());
            case CALL_CANCEL -> calls.offer(new CallEvent.Cancelled(link, frame.getCorrelation()));
            case PERMIT_REQUEST -> calls.offer(new CallEvent.PermitAsked(link, frame.getCorrelation()));
            case TICKET_DELIVERY -> tickets.offer(frame.getTicketDelivery());
            case POSSESSION_REQUEST ->
                weights.offer(new WeightsEvent.Followed(
                        link,
                        frame.getCorrelation(),
                        frame.getPossessionRequest().getWeightsKey()));
            case CHUNK_REQUEST ->
                uploads.ask(link, frame.getCorrelation(), frame.getChunkRequest(), isOfOtherRegion(link));
            case PROBE -> answerProbe(link, frame);
            default -> link.close();
        }
    }

    @Override
    public void closed(WireConnection link) {
        links.remove(link);
        calls.offer(new CallEvent.LinkLost(link));
    }

    private boolean isOfOtherRegion(WireConnection link) {
        return links.peer(link)
                .filter(peer -> !peer.getRegion().equals(hello.getRegion()))
                .isPresent();
    }

    private void greet(WireConnection link, Hello peer) {
        links.recordHello(link, peer);
        if (peer.getKind().equals(Peers.ENTRY)) {
            status.sendTo(link);
        }
    }

    private void answerProbe(WireConnection link, Frame frame) {
        SlotState state = status.state();
        ProbeAnswer answer = ProbeAnswer.newBuilder()
                .setIncarnation(state.getIncarnation())
                .setLeaving(state.getLeaving())
                .setLoadedKey(state.getWeightsKey())
                .setReady(state.getReady())
                .build();
        link.reply(frame, Frame.newBuilder().setProbeAnswer(answer));
    }

    /** Handles the links that this process opened to other slot processes: they only carry answers. */
    static final class Outgoing implements WireHandler {
        @Override
        public void opened(WireConnection link) {
            // The opener greets the peer itself.
        }

        @Override
        public void received(WireConnection link, Frame frame) {
            if (!frame.hasHello()) {
                link.close();
            }
        }

        @Override
        public void closed(WireConnection link) {
            // Every open exchange has heard that the link is lost.
        }
    }
}
