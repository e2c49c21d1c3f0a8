package org.galenahinge.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.galenahinge.concurrent.Controller;
import org.galenahinge.membership.Fleet;
import org.galenahinge.membership.Vm;
import org.galenahinge.ticket.TicketGroup;
import org.galenahinge.ticket.TicketState;
import org.galenahinge.ticket.TicketState.EffectiveGroup;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.WireHandler;
import org.galenahinge.wire.WireNetwork;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Probe;

/**
 * Opens, probes and restores the connections that this entry needs: to some other entries, to the slot processes that
 * are assigned to it, and to a bounded number of slot processes of each group. State changes on one thread.
 *
 * <p>Connections: at most {@value #ENTRY_CONNECTIONS} to entries, {@value #SLOTS_PER_GROUP} for each group in force,
 * and those to the slot processes for which this entry is one of {@link Fleet#ENTRIES_PER_SLOT}. Only the last number
 * grows with the fleet: as the number of slot processes divided by that of entries.
 */
final class ConnectionManager implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 4_096;
    private static final int ENTRY_CONNECTIONS = 8;
    private static final int SLOTS_PER_GROUP = 48;
    private static final Duration MINIMUM_TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration CONNECTED_TICK_INTERVAL = Duration.ofSeconds(1);
    private static final long MINIMUM_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MAXIMUM_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long MINIMUM_PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** The probe interval grows with the number of connections, so that the total rate of probes stays bounded. */
    private static final long PROBE_INTERVAL_NANOS_PER_CONNECTION = TimeUnit.MILLISECONDS.toNanos(60);

    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(900);
    private static final int UNANSWERED_PROBES_UNTIL_CLOSE = 3;
    private static final long RETIRED_CLOSE_DELAY_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final Vm self;
    private final WireNetwork network;
    private final WireHandler handler;
    private final Supplier<TicketState> tickets;
    private final Listener listener;
    private final Random random = new Random();
    private final Map<String, PeerState> peers = new HashMap<>();
    private final Map<String, WireConnection> connections = new ConcurrentHashMap<>();
    private final Controller<Event> controller;
    private final Deque<RetiredConnection> retired = new ArrayDeque<>();
    private Fleet fleet = Fleet.empty();

    private ConnectionManager(
            Vm self, WireNetwork network, WireHandler handler, Supplier<TicketState> tickets, Listener listener) {
        this.self = self;
        this.network = network;
        this.handler = handler;
        this.tickets = tickets;
        this.listener = listener;
        this.controller = Controller.create("links", QUEUE_CAPACITY, MINIMUM_TICK_INTERVAL, this::handle, this::tick);
    }

    static ConnectionManager create(
            Vm self, WireNetwork network, WireHandler handler, Supplier<TicketState> tickets, Listener listener) {
        return new ConnectionManager(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(network, "network"),
                Objects.requireNonNull(handler, "handler"),
                Objects.requireNonNull(tickets, "tickets"),
                Objects.requireNonNull(listener, "listener"));
    }

    /** Receives changes of connections. Called on the thread of the connection manager. */
    interface Listener {
        void connected(Vm vm, WireConnection connection);

        /** The process did not respond to a probe in time. Requests that were sent to it may have run nevertheless. */
        void unresponsive(Vm vm);

        /** The connection was lost or could not be opened; the next attempt follows after a backoff. */
        void unreachable(Vm vm);

        /** This entry no longer needs a connection to the VM. */
        void notNeeded(String vm);
    }

    void fleetChanged(Fleet next) {
        controller.offer(new Event.FleetChanged(next));
    }

    void ticketsChanged() {
        controller.offer(new Event.TicketsChanged());
    }

    void connectionClosed(WireConnection connection) {
        controller.offer(new Event.Closed(connection));
    }

    /**
     * Connects to a VM that this entry would not connect to by itself, and reconnects when the connection is lost. It
     * is dropped at the next change of the fleet or of the tickets.
     */
    void ensureConnected(Vm vm) {
        controller.offer(new Event.ConnectionNeeded(vm));
    }

    /** Returns the open connection to a VM, if there is one. */
    Optional<WireConnection> connectionTo(String vm) {
        return Optional.ofNullable(connections.get(vm)).filter(WireConnection::isOpen);
    }

    void start() {
        controller.startThread();
    }

    @Override
    public void close() {
        controller.close();
    }

    private void handle(Event event) {
        if (event instanceof Event.FleetChanged changed) {
            fleet = changed.fleet();
            updatePeers();
        } else if (event instanceof Event.TicketsChanged) {
            updatePeers();
        } else if (event instanceof Event.Closed closed) {
            handleClosed(closed.connection());
        } else if (event instanceof Event.ConnectionNeeded needed) {
            peers.computeIfAbsent(needed.vm().name(), name -> new PeerState(needed.vm()));
        } else if (event instanceof Event.Probed probed) {
            handleProbed(probed);
        } else if (event instanceof Event.Connected connected) {
            handleConnected(connected);
        }
    }

    private void updatePeers() {
        Set<String> needed = new HashSet<>();
        Fleet.rank(otherEntries(), self.name()).stream()
                .limit(ENTRY_CONNECTIONS)
                .forEach(vm -> needed.add(vm.name()));
        for (Vm slot : fleet.vmsOfKind(Vm.Kind.UPSTREAM)) {
            if (fleet.entriesConnectedTo(slot).stream()
                    .anyMatch(entry -> entry.name().equals(self.name()))) {
                needed.add(slot.name());
            }
        }
        for (EffectiveGroup group : tickets.get().effectiveGroups()) {
            addSlotsOf(group.content(), needed);
        }
        for (String name : needed) {
            fleet.find(name).ifPresent(vm -> peers.compute(name, (key, current) -> peerStateOf(vm, current)));
        }
        peers.keySet().stream().filter(name -> !needed.contains(name)).toList().forEach(this::remove);
    }

    private List<Vm> otherEntries() {
        return fleet.vmsOfKind(Vm.Kind.ENTRY).stream()
                .filter(vm -> !vm.name().equals(self.name()))
                .toList();
    }

    private void addSlotsOf(TicketGroup group, Set<String> names) {
        List<Vm> vms =
                group.vms().stream().flatMap(name -> fleet.find(name).stream()).toList();
        Fleet.rank(vms, self.name()).stream().limit(SLOTS_PER_GROUP).forEach(vm -> names.add(vm.name()));
    }

    /** Keeps the state of a VM unless its address changed: a replacement of the same name gets a new connection. */
    private PeerState peerStateOf(Vm vm, PeerState current) {
        if (current != null && current.vm.wireAddress().equals(vm.wireAddress())) {
            return current;
        }
        retire(vm.name());
        return new PeerState(vm);
    }

    private void remove(String name) {
        peers.remove(name);
        retire(name);
        listener.notNeeded(name);
    }

    /** Closes a connection after a delay longer than any request, because requests may still run over it. */
    private void retire(String name) {
        WireConnection connection = connections.remove(name);
        if (connection != null) {
            retired.add(new RetiredConnection(connection, System.nanoTime() + RETIRED_CLOSE_DELAY_NANOS));
        }
    }

    private Duration tick() {
        long now = System.nanoTime();
        while (!retired.isEmpty() && now - retired.element().closeAtNanos() > 0) {
            retired.remove().connection().close();
        }
        for (PeerState peer : peers.values()) {
            boolean due = !peer.connecting && now - peer.nextConnectNanos >= 0;
            if (due && connectionTo(peer.vm.name()).isEmpty()) {
                connect(peer);
            }
            connectionTo(peer.vm.name()).ifPresent(connection -> probeIfDue(peer, connection, now));
        }
        return connections.size() == peers.size() ? CONNECTED_TICK_INTERVAL : MINIMUM_TICK_INTERVAL;
    }

    private void probeIfDue(PeerState peer, WireConnection connection, long now) {
        if (peer.probePending || now - peer.nextProbeNanos < 0) {
            return;
        }
        peer.probePending = true;
        peer.nextProbeNanos =
                now + Math.max(MINIMUM_PROBE_INTERVAL_NANOS, PROBE_INTERVAL_NANOS_PER_CONNECTION * connections.size());
        connection
                .ask(Frame.newBuilder().setProbe(Probe.getDefaultInstance()), PROBE_TIMEOUT)
                .handle((answer, error) -> new Event.Probed(peer.vm.name(), connection, error == null))
                .thenAccept(controller::offer);
    }

    /**
     * Records the result of a probe. The connections of a paused process stay open by themselves; closing them ends the
     * requests on them, so that they can be retried on other VMs.
     */
    private void handleProbed(Event.Probed event) {
        PeerState peer = peers.get(event.vm());
        if (peer == null) {
            return;
        }
        peer.probePending = false;
        peer.unansweredProbes = event.responded() ? 0 : peer.unansweredProbes + 1;
        if (peer.unansweredProbes == 0) {
            return;
        }
        listener.unresponsive(peer.vm);
        if (peer.unansweredProbes >= UNANSWERED_PROBES_UNTIL_CLOSE) {
            event.connection().close();
        }
    }

    private void connect(PeerState peer) {
        peer.connecting = true;
        network.connect(peer.vm.wireAddress(), handler)
                .handle((connection, error) -> new Event.Connected(peer.vm, Optional.ofNullable(connection)))
                .thenAccept(controller::offer);
    }

    private void handleConnected(Event.Connected event) {
        PeerState peer = peers.get(event.vm().name());
        if (peer == null) {
            event.connection().ifPresent(WireConnection::close);
            return;
        }
        peer.connecting = false;
        if (event.connection().isEmpty()) {
            backOff(peer);
            listener.unreachable(peer.vm);
            return;
        }
        peer.backoffNanos = MINIMUM_BACKOFF_NANOS;
        peer.unansweredProbes = 0;
        peer.nextProbeNanos = System.nanoTime() + MINIMUM_PROBE_INTERVAL_NANOS;
        connections.put(peer.vm.name(), event.connection().get());
        listener.connected(peer.vm, event.connection().get());
    }

    private void handleClosed(WireConnection connection) {
        for (Map.Entry<String, WireConnection> entry : Map.copyOf(connections).entrySet()) {
            if (!entry.getValue().equals(connection)) {
                continue;
            }
            connections.remove(entry.getKey());
            PeerState peer = peers.get(entry.getKey());
            if (peer != null) {
                backOff(peer);
                listener.unreachable(peer.vm);
            }
        }
    }

    private void backOff(PeerState peer) {
        peer.nextConnectNanos = System.nanoTime() + (long) (peer.backoffNanos * (0.5 + random.nextDouble()));
        peer.backoffNanos = Math.min(MAXIMUM_BACKOFF_NANOS, peer.backoffNanos * 2);
    }

    private sealed interface Event {
        record FleetChanged(Fleet fleet) implements Event {}

        record TicketsChanged() implements Event {}

        record Closed(WireConnection connection) implements Event {}

        record ConnectionNeeded(Vm vm) implements Event {}

        record Probed(String vm, WireConnection connection, boolean responded) implements Event {}

        record Connected(Vm vm, Optional<WireConnection> connection) implements Event {}
    }

    private record RetiredConnection(WireConnection connection, long closeAtNanos) {}

    private static final class PeerState {
        private final Vm vm;
        private boolean connecting;
        private boolean probePending;
        private int unansweredProbes;
        private long nextProbeNanos = System.nanoTime();
        private long nextConnectNanos = System.nanoTime();
        private long backoffNanos = MINIMUM_BACKOFF_NANOS;

        private PeerState(Vm vm) {
            this.vm = vm;
        }
    }
}
