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
 * Says when this VM may stop serving old weights, so that enough VMs of its group serve at any time.
 *
 * <p>The ticket's order of VMs is cut into as many chains as VMs may be away at once; in each chain a VM waits until
 * the one before it holds the new weights and is ready. No VM grants anything: each reads its predecessor's state.
 */
final class ReloadTurn {
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);
    private static final long PROBE_EVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long SILENT_AFTER_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int GREATEST_SHARE_AWAY = 4;

    private final String self;
    private final PeerConnections links;
    private volatile Readiness predecessor = new Readiness("", "", false);
    private volatile long lastHeardNanos = System.nanoTime();
    private long nextProbeNanos = System.nanoTime();
    private String watched = "";

    private ReloadTurn(String self, PeerConnections links) {
        this.self = self;
        this.links = links;
    }

    static ReloadTurn create(String self, PeerConnections links) {
        return new ReloadTurn(Objects.requireNonNull(self, "self"), Objects.requireNonNull(links, "links"));
    }

    /** How many VMs of a group may be away at once. */
    static int awayAtOnce(int vms, int minimumReady) {
        int share = Math.max(1, (vms + GREATEST_SHARE_AWAY - 1) / GREATEST_SHARE_AWAY);
        return Math.max(1, Math.min(vms - minimumReady, share));
    }

    /** The VM whose reload this one waits for, if any. */
    static Optional<String> predecessorOf(String self, Assignment assignment) {
        List<String> vms = assignment.group().vms();
        int away = awayAtOnce(
                vms.size(), assignment.model().map(ModelWorkload::minimumReady).orElse(0));
        int position = vms.indexOf(self) - away;
        return position < 0 ? Optional.empty() : Optional.of(vms.get(position));
    }

    boolean hasTurn(Assignment assignment) {
        Optional<String> before = predecessorOf(self, assignment);
        String wanted = assignment.model().map(ModelWorkload::weightsKey).orElse("");
        return before.map(vm -> predecessor.isDone(vm, wanted) || isSilent(vm)).orElse(true);
    }

    /** Reads the predecessor's state again when it is due. */
    void refresh(Assignment assignment) {
        Optional<String> before = predecessorOf(self, assignment);
        long now = System.nanoTime();
        if (before.isEmpty() || now - nextProbeNanos < 0) {
            return;
        }
        nextProbeNanos = now + PROBE_EVERY_NANOS;
        if (!watched.equals(before.get())) {
            watched = before.get();
            lastHeardNanos = now;
        }
        assignment.peers().stream()
                .filter(peer -> peer.getVm().equals(watched))
                .findFirst()
                .ifPresent(this::probe);
    }

    private boolean isSilent(String vm) {
        return watched.equals(vm) && System.nanoTime() - lastHeardNanos > SILENT_AFTER_NANOS;
    }

    private void probe(Peer peer) {
        links.connectionTo(peer)
                .thenCompose(link -> link.ask(Frame.newBuilder().setProbe(Probe.getDefaultInstance()), PROBE_TIMEOUT))
                .thenAccept(frame -> heard(peer.getVm(), frame.getProbeAnswer()));
    }

    private void heard(String vm, ProbeAnswer answer) {
        lastHeardNanos = System.nanoTime();
        predecessor = new Readiness(vm, answer.getLoadedKey(), answer.getReady());
    }

    private record Readiness(String vm, String loadedKey, boolean ready) {
        boolean isDone(String wantedVm, String wantedKey) {
            return vm.equals(wantedVm) && loadedKey.equals(wantedKey) && ready;
        }
    }
}
