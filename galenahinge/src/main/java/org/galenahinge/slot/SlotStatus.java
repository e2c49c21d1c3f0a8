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
 * Tells entries what this slot process holds, whenever that changes.
 *
 * <p>Load changes with every call, so it does not count as a change: it rides on the answers of calls.
 */
final class SlotStatus {
    private final Vm self;
    private final long incarnation;
    private final ConnectionRegistry links;
    private final TicketController tickets;
    private final WeightsController weights;
    private final Supplier<ServingState> serving;
    private final Supplier<String> condition;
    private final Supplier<RequestController.Load> load;
    private final BooleanSupplier leaving;
    private final Supplier<Traffic> traffic;
    private SlotState lastSent = SlotState.getDefaultInstance();

    SlotStatus(
            Vm self,
            long incarnation,
            ConnectionRegistry links,
            TicketController tickets,
            WeightsController weights,
            Supplier<ServingState> serving,
            Supplier<String> condition,
            Supplier<RequestController.Load> load,
            BooleanSupplier leaving,
            Supplier<Traffic> traffic) {
        this.self = Objects.requireNonNull(self, "self");
        this.incarnation = incarnation;
        this.links = links;
        this.tickets = tickets;
        this.weights = weights;
        this.serving = serving;
        this.condition = condition;
        this.load = load;
        this.leaving = leaving;
        this.traffic = traffic;
    }

    /** Sends the state to every entry if something that routing or operators decide by has changed. */
    void sendIfChanged() {
        SlotState now = state();
        if (essence(now).equals(essence(lastSent))) {
            return;
        }
        lastSent = now;
        links.sendToKind(Peers.ENTRY, frame(now));
    }

    void sendTo(WireConnection link) {
        link.send(frame(state()));
    }

    SlotState state() {
        ServingState served = serving.get();
        RequestController.Load current = load.get();
        WeightsController.Progress progress = weights.progress();
        Traffic moved = traffic.get();
        return SlotState.newBuilder()
                .setVm(self.name())
                .setIncarnation(incarnation)
                .setReady(served.open() && !leaving.getAsBoolean())
                .setLeaving(leaving.getAsBoolean())
                .setServesModel(served.weightsKey().isEmpty() ? "" : served.target())
                .setService(served.weightsKey().isEmpty() ? served.target() : "")
                .setWeightsKey(served.weightsKey())
                .setFingerprint(served.fingerprint())
                .setInFlight(current.running())
                .setQueued(current.waiting())
                .setCapacity(current.capacity())
                .setWantedKey(wantedKey())
                .setChunksHeld(progress.chunksHeld())
                .setChunksTotal(progress.chunksTotal())
                .setCondition(condition.get())
                .addAllGroups(tickets.digest())
                .setOriginBytes(moved.originBytes())
                .setPeerBytes(moved.peerBytes())
                .setCrossRegionBytes(moved.crossRegionBytes())
                .build();
    }

    private String wantedKey() {
        Optional<Assignment> assignment = tickets.assignment();
        return assignment
                .flatMap(Assignment::model)
                .map(ModelWorkload::weightsKey)
                .orElse("");
    }

    private static SlotState essence(SlotState state) {
        boolean whole = state.getChunksTotal() > 0 && state.getChunksHeld() == state.getChunksTotal();
        return state.toBuilder()
                .clearInFlight()
                .clearQueued()
                .clearOriginBytes()
                .clearPeerBytes()
                .clearCrossRegionBytes()
                .setChunksHeld(whole ? state.getChunksHeld() : 0)
                .build();
    }

    private static Frame frame(SlotState state) {
        return Frame.newBuilder().setSlotState(state).build();
    }

    /**
     * Weights drawn so far.
     *
     * @param originBytes bytes from the origin
     * @param peerBytes bytes from other VMs
     * @param crossRegionBytes those of them that came from other regions
     */
    record Traffic(long originBytes, long peerBytes, long crossRegionBytes) {}
}
