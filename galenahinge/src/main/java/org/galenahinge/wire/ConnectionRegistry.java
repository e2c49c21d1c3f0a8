package org.galenahinge.wire;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Hello;

/** Holds the open connections, each with the {@link Hello} of its peer. Thread-safe. */
public final class ConnectionRegistry {
    private final int maximumConnections;
    private final Map<WireConnection, Hello> connections = new ConcurrentHashMap<>();

    private ConnectionRegistry(int maximumConnections) {
        this.maximumConnections = maximumConnections;
    }

    /**
     * Creates an empty registry.
     *
     * @param maximumConnections maximum number of connections; any beyond it are closed when added
     * @return the registry
     */
    public static ConnectionRegistry create(int maximumConnections) {
        return new ConnectionRegistry(maximumConnections);
    }

    /**
     * Adds an opened connection, or closes it when the registry is full.
     *
     * @param connection the connection
     */
    public void add(WireConnection connection) {
        if (connections.size() >= maximumConnections) {
            connection.close();
            return;
        }
        connections.put(connection, Hello.getDefaultInstance());
    }

    /**
     * Records the hello of a connection's peer. Does nothing when the connection is not registered.
     *
     * @param connection the connection
     * @param hello the peer's first frame
     */
    public void recordHello(WireConnection connection, Hello hello) {
        connections.computeIfPresent(connection, (known, previous) -> hello);
    }

    /**
     * Removes a closed connection.
     *
     * @param connection the connection
     */
    public void remove(WireConnection connection) {
        connections.remove(connection);
    }

    /**
     * Returns the hello of a connection's peer.
     *
     * @param connection the connection
     * @return the peer's first frame, or empty when it has not been received
     */
    public Optional<Hello> peer(WireConnection connection) {
        return Optional.ofNullable(connections.get(connection))
                .filter(hello -> !hello.getVm().isEmpty());
    }

    /**
     * Returns the connections to peers of one kind.
     *
     * @param kind the kind that the peers stated, see {@link Peers}
     * @return a new list
     */
    public List<WireConnection> ofKind(String kind) {
        return connections.entrySet().stream()
                .filter(entry -> entry.getValue().getKind().equals(kind))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Sends a frame on every connection to peers of one kind. A connection that is closed or full is skipped.
     *
     * @param kind the kind that the peers stated, see {@link Peers}
     * @param frame the frame
     */
    public void sendToKind(String kind, Frame frame) {
        for (WireConnection connection : ofKind(kind)) {
            connection.send(frame);
        }
    }

    /**
     * Closes all connections, each once every frame has been handed to the network.
     *
     * @return completes when all are closed
     */
    public CompletionStage<Void> closeWhenSent() {
        return CompletableFuture.allOf(connections.keySet().stream()
                .map(connection -> connection.closeWhenSent().toCompletableFuture())
                .toArray(CompletableFuture<?>[]::new));
    }
}
