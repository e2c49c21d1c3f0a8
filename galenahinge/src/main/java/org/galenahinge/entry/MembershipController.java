package org.galenahinge.entry;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.galenahinge.concurrent.Controller;
import org.galenahinge.membership.Fleet;
import org.galenahinge.membership.MemberState;
import org.galenahinge.membership.MemberState.Status;
import org.galenahinge.membership.MembershipMessages.Outgoing;
import org.galenahinge.membership.MembershipProtocol;
import org.galenahinge.membership.Vm;
import org.galenahinge.wire.MembershipCodec;
import org.galenahinge.wire.WireAddress;

/**
 * Runs the membership protocol among the entries: passes it messages and ticks on one thread, sends its messages, and
 * publishes the states of the entries to other threads.
 */
final class MembershipController implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 4_096;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    private final String self;
    private final MembershipProtocol protocol;
    private final Sender sender;
    private final Runnable onRejoined;
    private final Controller<Runnable> controller;
    private Map<String, WireAddress> addresses = Map.of();
    private volatile Map<String, Status> statuses = Map.of();
    private volatile boolean rejoining = true;

    /** Sends a datagram. */
    @FunctionalInterface
    interface Sender {
        void send(WireAddress to, byte[] bytes);
    }

    MembershipController(
            String self, MembershipProtocol protocol, Sender sender, Runnable onRejoined, MetricRegistry metrics) {
        this.self = Objects.requireNonNull(self, "self");
        this.protocol = Objects.requireNonNull(protocol, "protocol");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.onRejoined = Objects.requireNonNull(onRejoined, "onRejoined");
        this.controller = Controller.create("membership", QUEUE_CAPACITY, TICK_INTERVAL, Runnable::run, this::tick);
        metrics.gauge("membership.members", () -> () -> statuses.size());
    }

    void start() {
        controller.startThread();
    }

    void fleetChanged(Fleet fleet) {
        controller.offer(() -> {
            Map<String, WireAddress> next = new HashMap<>();
            fleet.vmsOfKind(Vm.Kind.ENTRY).forEach(vm -> next.put(vm.name(), vm.wireAddress()));
            addresses = next;
            protocol.setListedMembers(next.keySet(), System.nanoTime());
            publish();
        });
    }

    /** Handles a datagram of another entry. */
    void received(MembershipCodec.Received received) {
        controller.offer(() -> {
            send(protocol.receive(received.sender(), received.message(), System.nanoTime()));
            publish();
        });
    }

    /** Announces to other entries that this one leaves. */
    void leave() {
        controller.offer(() -> send(protocol.leave()));
    }

    /** Returns the membership state of an entry; an unknown one counts as dead. */
    Status statusOf(String vm) {
        return statuses.getOrDefault(vm, Status.DEAD);
    }

    boolean isUsable(String vm) {
        return statusOf(vm) == Status.ALIVE;
    }

    /** Tells whether the states may be outdated, so that no decision should rely on them. */
    boolean isRejoining() {
        return rejoining;
    }

    @Override
    public void close() {
        controller.close();
    }

    private Duration tick() {
        send(protocol.tick(System.nanoTime()));
        publish();
        return TICK_INTERVAL;
    }

    private void send(List<Outgoing> messages) {
        for (Outgoing outgoing : messages) {
            WireAddress to = addresses.get(outgoing.to());
            if (to != null) {
                sender.send(to, MembershipCodec.write(self, outgoing.message()));
            }
        }
    }

    private void publish() {
        if (rejoining && !protocol.isRejoining()) {
            onRejoined.run();
        }
        rejoining = protocol.isRejoining();
        Map<String, Status> next = new HashMap<>();
        for (MemberState member : protocol.members()) {
            next.put(member.vm(), member.status());
        }
        if (!next.equals(statuses)) {
            statuses = Map.copyOf(next);
        }
    }
}
