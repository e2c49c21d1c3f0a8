package org.galenahinge.wire;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Hello;

/** Holds the links that are up, with what each peer said of itself first. Safe for use from several threads. */
public final class LinkRegistry {
    private final int maximumLinks;
    private final Map<WireLink, Hello> links = new ConcurrentHashMap<>();

    private LinkRegistry(int maximumLinks) {
        this.maximumLinks = maximumLinks;
    }

    /**
     * Creates an empty registry.
     *
     * @param maximumLinks the most links held; a further one is closed
     * @return the registry
     */
    public static LinkRegistry create(int maximumLinks) {
        return new LinkRegistry(maximumLinks);
    }

    /**
     * Adds a link that came up.
     *
     * @param link the link
     */
    public void add(WireLink link) {
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
    public void greet(WireLink link, Hello hello) {
        links.computeIfPresent(link, (known, before) -> hello);
    }

    /**
     * Removes a link that went down.
     *
     * @param link the link
     */
    public void remove(WireLink link) {
        links.remove(link);
    }

    /**
     * Returns what the peer of a link said of itself.
     *
     * @param link the link
     * @return the peer's first frame, empty before it came
     */
    public Optional<Hello> peer(WireLink link) {
        return Optional.ofNullable(links.get(link))
                .filter(hello -> !hello.getVm().isEmpty());
    }

    /**
     * Returns the links to peers of a kind.
     *
     * @param kind the kind that the peers named
     * @return a new list
     */
    public List<WireLink> ofKind(String kind) {
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
        for (WireLink link : ofKind(kind)) {
            link.send(frame);
        }
    }
}
