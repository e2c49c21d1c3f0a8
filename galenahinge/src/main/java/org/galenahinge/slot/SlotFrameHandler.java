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

/** Dispatches each frame that arrives at a slot process to the controller that handles it. */
final class SlotFrameHandler implements WireHandler {
    private final Hello hello;
    private final ConnectionRegistry connections;
    private final RequestController requests;
    private final TicketController tickets;
    private final WeightsController weights;
    private final UploadController uploads;
    private final SlotStatusReporter status;

    SlotFrameHandler(
            Hello hello,
            ConnectionRegistry connections,
            RequestController requests,
            TicketController tickets,
            WeightsController weights,
            UploadController uploads,
            SlotStatusReporter status) {
        this.hello = Objects.requireNonNull(hello, "hello");
        this.connections = connections;
        this.requests = requests;
        this.tickets = tickets;
        this.weights = weights;
        this.uploads = uploads;
        this.status = status;
    }

    @Override
    public void opened(WireConnection connection) {
        connections.add(connection);
        connection.send(Frame.newBuilder().setHello(hello).build());
    }

    @Override
    public void received(WireConnection connection, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> handleHello(connection, frame.getHello());
            case CALL_START -> requests.offerRequest(connection, frame.getCorrelation(), frame.getCallStart());
            case CALL_CANCEL -> requests.offer(new RequestEvent.Cancelled(connection, frame.getCorrelation()));
            case PERMIT_REQUEST -> requests.offer(new RequestEvent.PermitRequested(connection, frame.getCorrelation()));
            case TICKET_DELIVERY -> tickets.offer(frame.getTicketDelivery());
            case POSSESSION_REQUEST ->
                weights.offer(new WeightsEvent.PossessionRequested(
                        connection,
                        frame.getCorrelation(),
                        frame.getPossessionRequest().getWeightsKey()));
            case CHUNK_REQUEST ->
                uploads.offerRequest(
                        connection, frame.getCorrelation(), frame.getChunkRequest(), isFromOtherRegion(connection));
            case PROBE -> answerProbe(connection, frame);
            default -> connection.close();
        }
    }

    @Override
    public void closed(WireConnection connection) {
        connections.remove(connection);
        requests.offer(new RequestEvent.ConnectionLost(connection));
    }

    private boolean isFromOtherRegion(WireConnection connection) {
        return connections
                .peer(connection)
                .filter(peer -> !peer.getRegion().equals(hello.getRegion()))
                .isPresent();
    }

    private void handleHello(WireConnection connection, Hello peer) {
        connections.recordHello(connection, peer);
        if (peer.getKind().equals(Peers.ENTRY)) {
            status.sendTo(connection);
        }
    }

    private void answerProbe(WireConnection connection, Frame frame) {
        SlotState state = status.state();
        ProbeAnswer answer = ProbeAnswer.newBuilder()
                .setIncarnation(state.getIncarnation())
                .setLeaving(state.getLeaving())
                .setLoadedKey(state.getWeightsKey())
                .setReady(state.getReady())
                .build();
        connection.reply(frame, Frame.newBuilder().setProbeAnswer(answer));
    }

    /** Handles the connections that this process opened to other slot processes; they carry only replies. */
    static final class Outgoing implements WireHandler {
        @Override
        public void opened(WireConnection connection) {
            // PeerConnections sends the hello.
        }

        @Override
        public void received(WireConnection connection, Frame frame) {
            if (!frame.hasHello()) {
                connection.close();
            }
        }

        @Override
        public void closed(WireConnection connection) {
            // The listener of each open exchange is notified of the loss.
        }
    }
}
