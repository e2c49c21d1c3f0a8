package org.galenahinge.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.galenahinge.membership.Fleet;
import org.galenahinge.membership.Vm;
import org.galenahinge.ticket.Ticket;
import org.galenahinge.ticket.TicketState;
import org.galenahinge.ticket.TicketState.EffectiveGroup;
import org.galenahinge.wire.TicketFrames;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.GroupDigest;
import org.galenahinge.wire.generated.Peer;
import org.galenahinge.wire.generated.SlotState;

/**
 * Sends the connected slot processes the tickets that concern them and that they lack, and the VMs of their groups. Not
 * thread-safe.
 */
final class TicketPush {
    private final SlotDirectory slots;
    private final Map<WireConnection, SlotPush> pushes = new HashMap<>();

    TicketPush(SlotDirectory slots) {
        this.slots = Objects.requireNonNull(slots, "slots");
    }

    /** The state that a slot process reported and the peers last sent to it. */
    private static final class SlotPush {
        private SlotState reportedState = SlotState.getDefaultInstance();
        private List<Peer> sentPeers = List.of();
    }

    /** Handles the report of a slot process, which names the tickets that it holds. */
    void slotReported(WireConnection connection, SlotState reported, TicketState state, Fleet fleet) {
        SlotPush push = pushes.computeIfAbsent(connection, key -> new SlotPush());
        push.reportedState = reported;
        send(connection, push, state, fleet);
    }

    /** Sends all slot processes what they lack by their last reports. */
    void toAll(TicketState state, Fleet fleet) {
        pushes.keySet().removeIf(connection -> !connection.isOpen());
        pushes.forEach((connection, push) -> send(connection, push, state, fleet));
    }

    private void send(WireConnection connection, SlotPush push, TicketState state, Fleet fleet) {
        List<Ticket> missing = missingTickets(push.reportedState, state);
        List<Peer> peers = peersOf(push.reportedState.getVm(), state, fleet);
        if (missing.isEmpty() && peers.equals(push.sentPeers)) {
            return;
        }
        if (connection.send(TicketFrames.delivery(missing, peers))) {
            push.sentPeers = peers;
        }
    }

    private static List<Ticket> missingTickets(SlotState reported, TicketState state) {
        Map<String, GroupDigest> held = new HashMap<>();
        reported.getGroupsList().forEach(group -> held.put(group.getGroup(), group));
        Map<Long, Ticket> missing = new TreeMap<>();
        for (EffectiveGroup group : state.effectiveGroups()) {
            String name = group.content().group();
            boolean relevant = held.containsKey(name) || group.content().vms().contains(reported.getVm());
            if (relevant && TicketFrames.isOlder(held.get(name), group.ticket())) {
                missing.put(group.ticket().number(), group.ticket());
            }
        }
        return List.copyOf(missing.values());
    }

    private List<Peer> peersOf(String vm, TicketState state, Fleet fleet) {
        Optional<EffectiveGroup> group = state.groupOf(vm);
        if (group.isEmpty()) {
            return List.of();
        }
        return group.get().content().vms().stream()
                .filter(name -> !slots.isUnreachable(name))
                .flatMap(name -> fleet.find(name).stream())
                .map(TicketPush::peer)
                .toList();
    }

    private static Peer peer(Vm vm) {
        return Peer.newBuilder()
                .setVm(vm.name())
                .setAddress(vm.address())
                .setWirePort(vm.wirePort())
                .setRegion(vm.region())
                .setFailureDomain(vm.failureDomain())
                .build();
    }
}
