package org.galenahinge.slot;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.WireHandler;
import org.galenahinge.wire.WireNetwork;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Hello;
import org.galenahinge.wire.generated.Peer;

/** Connects to the slot processes of other VMs when one is needed. Safe for use from several threads. */
final class PeerLinks {
    private static final int MAXIMUM_LINKS = 512;

    private final WireNetwork network;
    private final Hello hello;
    private final WireHandler handler;
    private final Map<String, CompletableFuture<WireConnection>> links = new ConcurrentHashMap<>();

    private PeerLinks(WireNetwork network, Hello hello, WireHandler handler) {
        this.network = network;
        this.hello = hello;
        this.handler = handler;
    }

    static PeerLinks create(WireNetwork network, Hello hello, WireHandler handler) {
        return new PeerLinks(
                Objects.requireNonNull(network, "network"), Objects.requireNonNull(hello, "hello"), handler);
    }

    /** The link to a peer, connected now if there is none. */
    CompletableFuture<WireConnection> to(Peer peer) {
        CompletableFuture<WireConnection> known = links.get(peer.getVm());
        if (known != null && isUsable(known)) {
            return known;
        }
        if (links.size() >= MAXIMUM_LINKS && known == null) {
            return CompletableFuture.failedFuture(new IllegalStateException("too many links to other VMs"));
        }
        return links.compute(
                peer.getVm(), (vm, current) -> current != null && isUsable(current) ? current : connect(peer));
    }

    private static boolean isUsable(CompletableFuture<WireConnection> link) {
        if (!link.isDone()) {
            return true;
        }
        return !link.isCompletedExceptionally() && link.join().isOpen();
    }

    private CompletableFuture<WireConnection> connect(Peer peer) {
        return network.connect(new WireAddress(peer.getAddress(), peer.getWirePort()), handler)
                .thenApply(link -> {
                    link.send(Frame.newBuilder().setHello(hello).build());
                    return link;
                })
                .toCompletableFuture();
    }
}
