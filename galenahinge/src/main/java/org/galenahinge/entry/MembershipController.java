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

/** Keeps track of which other entries are up. One thread; the core decides, this moves its messages. */
final class MembershipController implements AutoCloseable {
    private static final int RING = 4_096;
    private static final Duration TICK = Duration.ofMillis(100);

    private final String self;
    private final MembershipProtocol core;
    private final Sender sender;
    private final Runnable rejoined;
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
            String self, MembershipProtocol core, Sender sender, Runnable rejoined, MetricRegistry metrics) {
        this.self = Objects.requireNonNull(self, "self");
        this.core = Objects.requireNonNull(core, "core");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.rejoined = Objects.requireNonNull(rejoined, "rejoined");
        this.controller = Controller.create("membership", RING, TICK, Runnable::run, this::tick);
        metrics.gauge("membership.members", () -> () -> statuses.size());
    }

    void begin() {
        controller.startThread();
    }

    void fleetChanged(Fleet fleet) {
        controller.offer(() -> {
            Map<String, WireAddress> next = new HashMap<>();
            fleet.vmsOfKind(Vm.Kind.ENTRY).forEach(vm -> next.put(vm.name(), vm.wireAddress()));
            addresses = next;
            core.setListedMembers(next.keySet(), System.nanoTime());
            publish();
        });
    }

    void received(MembershipCodec.Received received) {
        controller.offer(() -> {
            send(core.receive(received.sender(), received.message(), System.nanoTime()));
            publish();
        });
    }

    void leave() {
        controller.offer(() -> send(core.leave()));
    }

    /** What is held of another entry; one that is not known counts as dead. */
    Status statusOf(String vm) {
        return statuses.getOrDefault(vm, Status.DEAD);
    }

    boolean isUsable(String vm) {
        return statusOf(vm) == Status.ALIVE;
    }

    /** Whether the own knowledge is stale and nothing should be decided by it. */
    boolean isRejoining() {
        return rejoining;
    }

    @Override
    public void close() {
        controller.close();
    }

    private Duration tick() {
        send(core.tick(System.nanoTime()));
        publish();
        return TICK;
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
        if (rejoining && !core.isRejoining()) {
            rejoined.run();
        }
        rejoining = core.isRejoining();
        Map<String, Status> next = new HashMap<>();
        for (MemberState member : core.members()) {
            next.put(member.vm(), member.status());
        }
        if (!next.equals(statuses)) {
            statuses = Map.copyOf(next);
        }
    }
}
