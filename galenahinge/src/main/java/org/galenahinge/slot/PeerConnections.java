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

/** Connections to the slot processes of other VMs, opened on demand. Thread-safe. */
final class PeerConnections {
    private static final int MAXIMUM_CONNECTIONS = 512;

    private final WireNetwork network;
    private final Hello hello;
    private final WireHandler handler;
    private final Map<String, CompletableFuture<WireConnection>> connections = new ConcurrentHashMap<>();

    private PeerConnections(WireNetwork network, Hello hello, WireHandler handler) {
        this.network = network;
        this.hello = hello;
        this.handler = handler;
    }

    static PeerConnections create(WireNetwork network, Hello hello, WireHandler handler) {
        return new PeerConnections(
                Objects.requireNonNull(network, "network"), Objects.requireNonNull(hello, "hello"), handler);
    }

    /** Returns the connection to a peer, and opens one if there is none or it is closed. */
    CompletableFuture<WireConnection> connectionTo(Peer peer) {
        CompletableFuture<WireConnection> existing = connections.get(peer.getVm());
        if (existing != null && isUsable(existing)) {
            return existing;
        }
        if (connections.size() >= MAXIMUM_CONNECTIONS && existing == null) {
            return CompletableFuture.failedFuture(new IllegalStateException("too many connections to other VMs"));
        }
        return connections.compute(
                peer.getVm(), (vm, current) -> current != null && isUsable(current) ? current : connect(peer));
    }

    private static boolean isUsable(CompletableFuture<WireConnection> connection) {
        if (!connection.isDone()) {
            return true;
        }
        return !connection.isCompletedExceptionally() && connection.join().isOpen();
    }

    private CompletableFuture<WireConnection> connect(Peer peer) {
        return network.connect(new WireAddress(peer.getAddress(), peer.getWirePort()), handler)
                .thenApply(connection -> {
                    connection.send(Frame.newBuilder().setHello(hello).build());
                    return connection;
                })
                .toCompletableFuture();
    }
}
