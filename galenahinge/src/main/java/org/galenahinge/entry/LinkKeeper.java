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
 * Keeps links to the processes that this entry needs: some other entries, the slot processes that it looks after, and
 * a bounded number of slot processes of each group. One thread.
 *
 * <p>Links held: at most {@value #ENTRY_LINKS} entries, {@value #SLOTS_PER_GROUP} for each group in force, and the
 * slots of which this entry is one of {@link Fleet#ENTRIES_PER_SLOT}; none of it grows with the fleet but the last, as
 * slots over entries.
 */
final class LinkKeeper implements AutoCloseable {
    private static final int RING = 4_096;
    private static final int ENTRY_LINKS = 8;
    private static final int SLOTS_PER_GROUP = 48;
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration IDLE = Duration.ofSeconds(1);
    private static final long LEAST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long GREATEST_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long LEAST_PROBE_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** With many links each is probed less often, so that the probes of all cost the same. */
    private static final long PROBE_NANOS_PER_LINK = TimeUnit.MILLISECONDS.toNanos(60);

    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(900);
    private static final int SILENT_PROBES_ALLOWED = 3;
    private static final long RETIREMENT_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final Vm self;
    private final WireNetwork network;
    private final WireHandler handler;
    private final Supplier<TicketState> tickets;
    private final Listener listener;
    private final Random random = new Random();
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<String, WireConnection> links = new ConcurrentHashMap<>();
    private final Controller<Event> controller;
    private final Deque<Retired> retired = new ArrayDeque<>();
    private Fleet fleet = Fleet.empty();

    private LinkKeeper(
            Vm self, WireNetwork network, WireHandler handler, Supplier<TicketState> tickets, Listener listener) {
        this.self = self;
        this.network = network;
        this.handler = handler;
        this.tickets = tickets;
        this.listener = listener;
        this.controller = Controller.create("links", RING, TICK, this::handle, this::tick);
    }

    static LinkKeeper create(
            Vm self, WireNetwork network, WireHandler handler, Supplier<TicketState> tickets, Listener listener) {
        return new LinkKeeper(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(network, "network"),
                Objects.requireNonNull(handler, "handler"),
                Objects.requireNonNull(tickets, "tickets"),
                Objects.requireNonNull(listener, "listener"));
    }

    /** Hears which VMs are linked. Called on this controller's thread. */
    interface Listener {
        void linked(Vm vm, WireConnection link);

        /** The process did not answer a probe; that proves nothing about what it was given. */
        void silent(Vm vm);

        void unreachable(Vm vm);

        void unwanted(String vm);
    }

    void fleetChanged(Fleet next) {
        controller.offer(new Event.FleetRead(next));
    }

    void ticketsChanged() {
        controller.offer(new Event.Replan());
    }

    void linkClosed(WireConnection link) {
        controller.offer(new Event.Closed(link));
    }

    /** Connects to a VM that is not kept by plan, for as long as it is up. */
    void need(Vm vm) {
        controller.offer(new Event.Needed(vm));
    }

    Optional<WireConnection> linkTo(String vm) {
        return Optional.ofNullable(links.get(vm)).filter(WireConnection::isOpen);
    }

    void begin() {
        controller.startThread();
    }

    @Override
    public void close() {
        controller.close();
    }

    private void handle(Event event) {
        if (event instanceof Event.FleetRead read) {
            fleet = read.fleet();
            replan();
        } else if (event instanceof Event.Replan) {
            replan();
        } else if (event instanceof Event.Closed closed) {
            closed(closed.link());
        } else if (event instanceof Event.Needed needed) {
            attempts.computeIfAbsent(needed.vm().name(), name -> new Attempt(needed.vm()));
        } else if (event instanceof Event.Probed probed) {
            probed(probed);
        } else if (event instanceof Event.Connected connected) {
            connected(connected);
        }
    }

    private void replan() {
        Set<String> next = new HashSet<>();
        Fleet.rank(otherEntries(), self.name()).stream().limit(ENTRY_LINKS).forEach(vm -> next.add(vm.name()));
        for (Vm slot : fleet.vmsOfKind(Vm.Kind.UPSTREAM)) {
            if (fleet.entriesConnectedTo(slot).stream()
                    .anyMatch(home -> home.name().equals(self.name()))) {
                next.add(slot.name());
            }
        }
        for (EffectiveGroup group : tickets.get().effectiveGroups()) {
            addSlotsOf(group.content(), next);
        }
        for (String name : next) {
            fleet.find(name).ifPresent(vm -> attempts.compute(name, (key, known) -> attemptAt(vm, known)));
        }
        attempts.keySet().stream().filter(name -> !next.contains(name)).toList().forEach(this::drop);
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

    /** A VM that was replaced under the same name is reached anew. */
    private Attempt attemptAt(Vm vm, Attempt known) {
        if (known != null && known.vm.wireAddress().equals(vm.wireAddress())) {
            return known;
        }
        retire(vm.name());
        return new Attempt(vm);
    }

    private void drop(String name) {
        attempts.remove(name);
        retire(name);
        listener.unwanted(name);
    }

    /** Calls may still run over a link that is no longer wanted, so it is closed only after the longest call. */
    private void retire(String name) {
        WireConnection link = links.remove(name);
        if (link != null) {
            retired.add(new Retired(link, System.nanoTime() + RETIREMENT_NANOS));
        }
    }

    private Duration tick() {
        long now = System.nanoTime();
        while (!retired.isEmpty() && now - retired.element().untilNanos() > 0) {
            retired.remove().link().close();
        }
        for (Attempt attempt : attempts.values()) {
            boolean due = !attempt.connecting && now - attempt.notBeforeNanos >= 0;
            if (due && linkTo(attempt.vm.name()).isEmpty()) {
                connect(attempt);
            }
            linkTo(attempt.vm.name()).ifPresent(link -> probeIfDue(attempt, link, now));
        }
        return links.size() == attempts.size() ? IDLE : TICK;
    }

    private void probeIfDue(Attempt attempt, WireConnection link, long now) {
        if (attempt.probing || now - attempt.nextProbeNanos < 0) {
            return;
        }
        attempt.probing = true;
        attempt.nextProbeNanos = now + Math.max(LEAST_PROBE_NANOS, PROBE_NANOS_PER_LINK * links.size());
        link.ask(Frame.newBuilder().setProbe(Probe.getDefaultInstance()), PROBE_TIMEOUT)
                .handle((answer, error) -> new Event.Probed(attempt.vm.name(), link, error == null))
                .thenAccept(controller::offer);
    }

    /** A process that was paused keeps its links open; closing them lets its calls be tried elsewhere. */
    private void probed(Event.Probed event) {
        Attempt attempt = attempts.get(event.vm());
        if (attempt == null) {
            return;
        }
        attempt.probing = false;
        attempt.silentProbes = event.answered() ? 0 : attempt.silentProbes + 1;
        if (attempt.silentProbes == 0) {
            return;
        }
        listener.silent(attempt.vm);
        if (attempt.silentProbes >= SILENT_PROBES_ALLOWED) {
            event.link().close();
        }
    }

    private void connect(Attempt attempt) {
        attempt.connecting = true;
        network.connect(attempt.vm.wireAddress(), handler)
                .handle((link, error) -> new Event.Connected(attempt.vm, Optional.ofNullable(link)))
                .thenAccept(controller::offer);
    }

    private void connected(Event.Connected event) {
        Attempt attempt = attempts.get(event.vm().name());
        if (attempt == null) {
            event.link().ifPresent(WireConnection::close);
            return;
        }
        attempt.connecting = false;
        if (event.link().isEmpty()) {
            backOff(attempt);
            listener.unreachable(attempt.vm);
            return;
        }
        attempt.backoffNanos = LEAST_BACKOFF_NANOS;
        attempt.silentProbes = 0;
        attempt.nextProbeNanos = System.nanoTime() + LEAST_PROBE_NANOS;
        links.put(attempt.vm.name(), event.link().get());
        listener.linked(attempt.vm, event.link().get());
    }

    private void closed(WireConnection link) {
        for (Map.Entry<String, WireConnection> entry : Map.copyOf(links).entrySet()) {
            if (!entry.getValue().equals(link)) {
                continue;
            }
            links.remove(entry.getKey());
            Attempt attempt = attempts.get(entry.getKey());
            if (attempt != null) {
                backOff(attempt);
                listener.unreachable(attempt.vm);
            }
        }
    }

    private void backOff(Attempt attempt) {
        attempt.notBeforeNanos = System.nanoTime() + (long) (attempt.backoffNanos * (0.5 + random.nextDouble()));
        attempt.backoffNanos = Math.min(GREATEST_BACKOFF_NANOS, attempt.backoffNanos * 2);
    }

    private sealed interface Event {
        record FleetRead(Fleet fleet) implements Event {}

        record Replan() implements Event {}

        record Closed(WireConnection link) implements Event {}

        record Needed(Vm vm) implements Event {}

        record Probed(String vm, WireConnection link, boolean answered) implements Event {}

        record Connected(Vm vm, Optional<WireConnection> link) implements Event {}
    }

    private record Retired(WireConnection link, long untilNanos) {}

    private static final class Attempt {
        private final Vm vm;
        private boolean connecting;
        private boolean probing;
        private int silentProbes;
        private long nextProbeNanos = System.nanoTime();
        private long notBeforeNanos = System.nanoTime();
        private long backoffNanos = LEAST_BACKOFF_NANOS;

        private Attempt(Vm vm) {
            this.vm = vm;
        }
    }
}
