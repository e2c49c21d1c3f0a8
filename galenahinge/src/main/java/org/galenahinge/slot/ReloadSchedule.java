package org.galenahinge.slot;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Peer;
import org.galenahinge.wire.generated.Probe;
import org.galenahinge.wire.generated.ProbeAnswer;

/**
 * Determines when this VM may stop serving old weights to load new ones, so that enough VMs of its group serve at any
 * time.
 *
 * <p>The VMs of the group, in the order of the ticket, form as many chains as VMs may reload at once. In each chain a
 * VM waits until its predecessor has loaded the new weights and is ready, or is unresponsive. No VM grants permission
 * to another: each one reads the state of its predecessor.
 */
final class ReloadSchedule {
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long UNRESPONSIVE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int RELOADING_SHARE_DIVISOR = 4;

    private final String self;
    private final PeerConnections connections;
    private volatile Readiness lastReadiness = new Readiness("", "", false);
    private volatile long lastReplyNanos = System.nanoTime();
    private long nextProbeNanos = System.nanoTime();
    private String watchedVm = "";

    private ReloadSchedule(String self, PeerConnections connections) {
        this.self = self;
        this.connections = connections;
    }

    static ReloadSchedule create(String self, PeerConnections connections) {
        return new ReloadSchedule(
                Objects.requireNonNull(self, "self"), Objects.requireNonNull(connections, "connections"));
    }

    /**
     * Returns the maximum number of VMs of a group that may reload at once: a quarter of them, rounded up, but no more
     * than leaves {@code minimumReady} VMs serving, and at least 1.
     */
    static int maximumReloading(int vms, int minimumReady) {
        int share = Math.max(1, (vms + RELOADING_SHARE_DIVISOR - 1) / RELOADING_SHARE_DIVISOR);
        return Math.max(1, Math.min(vms - minimumReady, share));
    }

    /** Returns the VM whose reload must end before this VM's reload starts, if any. */
    static Optional<String> predecessorOf(String self, Assignment assignment) {
        List<String> vms = assignment.group().vms();
        int concurrent = maximumReloading(
                vms.size(), assignment.model().map(ModelWorkload::minimumReady).orElse(0));
        int position = vms.indexOf(self) - concurrent;
        return position < 0 ? Optional.empty() : Optional.of(vms.get(position));
    }

    /** Returns true if there is no predecessor, or it is ready with the wanted weights, or it is unresponsive. */
    boolean mayReload(Assignment assignment) {
        Optional<String> predecessor = predecessorOf(self, assignment);
        String wanted = assignment.model().map(ModelWorkload::weightsKey).orElse("");
        return predecessor
                .map(vm -> lastReadiness.isReadyWith(vm, wanted) || isUnresponsive(vm))
                .orElse(true);
    }

    /** Reads the predecessor's state if the probe interval has passed. */
    void probeIfDue(Assignment assignment) {
        Optional<String> predecessor = predecessorOf(self, assignment);
        long now = System.nanoTime();
        if (predecessor.isEmpty() || now - nextProbeNanos < 0) {
            return;
        }
        nextProbeNanos = now + PROBE_INTERVAL_NANOS;
        if (!watchedVm.equals(predecessor.get())) {
            watchedVm = predecessor.get();
            lastReplyNanos = now;
        }
        assignment.peers().stream()
                .filter(peer -> peer.getVm().equals(watchedVm))
                .findFirst()
                .ifPresent(this::probe);
    }

    private boolean isUnresponsive(String vm) {
        return watchedVm.equals(vm) && System.nanoTime() - lastReplyNanos > UNRESPONSIVE_AFTER_NANOS;
    }

    private void probe(Peer peer) {
        connections
                .connectionTo(peer)
                .thenCompose(connection ->
                        connection.ask(Frame.newBuilder().setProbe(Probe.getDefaultInstance()), PROBE_TIMEOUT))
                .thenAccept(frame -> recordReply(peer.getVm(), frame.getProbeAnswer()));
    }

    private void recordReply(String vm, ProbeAnswer answer) {
        lastReplyNanos = System.nanoTime();
        lastReadiness = new Readiness(vm, answer.getLoadedKey(), answer.getReady());
    }

    private record Readiness(String vm, String loadedKey, boolean ready) {
        boolean isReadyWith(String wantedVm, String wantedKey) {
            return vm.equals(wantedVm) && loadedKey.equals(wantedKey) && ready;
        }
    }
}
