package org.galenahinge.slot;

import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.galenahinge.membership.Vm;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.wire.ConnectionRegistry;
import org.galenahinge.wire.Peers;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.SlotState;

/**
 * Sends the state of this slot process to the entries whenever it changes.
 *
 * <p>Load changes with every request, so a change of load alone sends nothing: entries receive the load with each
 * response.
 */
final class SlotStatusReporter {
    private final Vm self;
    private final long incarnation;
    private final ConnectionRegistry connections;
    private final TicketController tickets;
    private final WeightsController weights;
    private final Supplier<ServingState> serving;
    private final Supplier<String> condition;
    private final Supplier<RequestController.Load> load;
    private final BooleanSupplier leaving;
    private final Supplier<Traffic> traffic;
    private SlotState lastSent = SlotState.getDefaultInstance();

    SlotStatusReporter(
            Vm self,
            long incarnation,
            ConnectionRegistry connections,
            TicketController tickets,
            WeightsController weights,
            Supplier<ServingState> serving,
            Supplier<String> condition,
            Supplier<RequestController.Load> load,
            BooleanSupplier leaving,
            Supplier<Traffic> traffic) {
        this.self = Objects.requireNonNull(self, "self");
        this.incarnation = incarnation;
        this.connections = connections;
        this.tickets = tickets;
        this.weights = weights;
        this.serving = serving;
        this.condition = condition;
        this.load = load;
        this.leaving = leaving;
        this.traffic = traffic;
    }

    /** Sends the state to every entry if a part of it that routing or operators use has changed. */
    void sendIfChanged() {
        SlotState current = state();
        if (withoutLoadAndProgress(current).equals(withoutLoadAndProgress(lastSent))) {
            return;
        }
        lastSent = current;
        connections.sendToKind(Peers.ENTRY, frame(current));
    }

    void sendTo(WireConnection connection) {
        connection.send(frame(state()));
    }

    SlotState state() {
        ServingState servingState = serving.get();
        RequestController.Load current = load.get();
        WeightsController.Progress progress = weights.progress();
        Traffic transferred = traffic.get();
        return SlotState.newBuilder()
                .setVm(self.name())
                .setIncarnation(incarnation)
                .setReady(servingState.open() && !leaving.getAsBoolean())
                .setLeaving(leaving.getAsBoolean())
                .setServesModel(servingState.weightsKey().isEmpty() ? "" : servingState.target())
                .setService(servingState.weightsKey().isEmpty() ? servingState.target() : "")
                .setWeightsKey(servingState.weightsKey())
                .setFingerprint(servingState.fingerprint())
                .setInFlight(current.running())
                .setQueued(current.waiting())
                .setCapacity(current.capacity())
                .setWantedKey(wantedKey())
                .setChunksHeld(progress.chunksHeld())
                .setChunksTotal(progress.chunksTotal())
                .setCondition(condition.get())
                .addAllGroups(tickets.digest())
                .setOriginBytes(transferred.originBytes())
                .setPeerBytes(transferred.peerBytes())
                .setCrossRegionBytes(transferred.crossRegionBytes())
                .build();
    }

    private String wantedKey() {
        Optional<Assignment> assignment = tickets.assignment();
        return assignment
                .flatMap(Assignment::model)
                .map(ModelWorkload::weightsKey)
                .orElse("");
    }

    private static SlotState withoutLoadAndProgress(SlotState state) {
        boolean complete = state.getChunksTotal() > 0 && state.getChunksHeld() == state.getChunksTotal();
        return state.toBuilder()
                .clearInFlight()
                .clearQueued()
                .clearOriginBytes()
                .clearPeerBytes()
                .clearCrossRegionBytes()
                .setChunksHeld(complete ? state.getChunksHeld() : 0)
                .build();
    }

    private static Frame frame(SlotState state) {
        return Frame.newBuilder().setSlotState(state).build();
    }

    /**
     * Bytes of weights fetched since the start of the process.
     *
     * @param originBytes bytes fetched from the origin
     * @param peerBytes bytes fetched from other VMs
     * @param crossRegionBytes the part of {@code peerBytes} that came from other regions
     */
    record Traffic(long originBytes, long peerBytes, long crossRegionBytes) {}
}
