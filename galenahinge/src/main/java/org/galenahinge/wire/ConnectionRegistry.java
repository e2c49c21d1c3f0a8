package org.galenahinge.wire;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Hello;

/** Holds the links that are up, with what each peer said of itself first. Safe for use from several threads. */
public final class ConnectionRegistry {
    private final int maximumLinks;
    private final Map<WireConnection, Hello> links = new ConcurrentHashMap<>();

    private ConnectionRegistry(int maximumLinks) {
        this.maximumLinks = maximumLinks;
    }

    /**
     * Creates an empty registry.
     *
     * @param maximumLinks the most links held; a further one is closed
     * @return the registry
     */
    public static ConnectionRegistry create(int maximumLinks) {
        return new ConnectionRegistry(maximumLinks);
    }

    /**
     * Adds a link that came up.
     *
     * @param link the link
     */
    public void add(WireConnection link) {
        if (links.size() >= maximumLinks) {
            link.close();
            return;
        }
        links.put(link, Hello.getDefaultInstance());
    }

    /**
     * Takes in what the peer said of itself.
     *
     * @param link the link
     * @param hello the peer's first frame
     */
    public void greet(WireConnection link, Hello hello) {
        links.computeIfPresent(link, (known, before) -> hello);
    }

    /**
     * Removes a link that went down.
     *
     * @param link the link
     */
    public void remove(WireConnection link) {
        links.remove(link);
    }

    /**
     * Returns what the peer of a link said of itself.
     *
     * @param link the link
     * @return the peer's first frame, empty before it came
     */
    public Optional<Hello> peer(WireConnection link) {
        return Optional.ofNullable(links.get(link))
                .filter(hello -> !hello.getVm().isEmpty());
    }

    /**
     * Returns the links to peers of a kind.
     *
     * @param kind the kind that the peers named
     * @return a new list
     */
    public List<WireConnection> ofKind(String kind) {
        return links.entrySet().stream()
                .filter(entry -> entry.getValue().getKind().equals(kind))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Sends a frame on every link to a peer of a kind.
     *
     * @param kind the kind that the peers named
     * @param frame the frame
     */
    public void sendToKind(String kind, Frame frame) {
        for (WireConnection link : ofKind(kind)) {
            link.send(frame);
        }
    }
}
