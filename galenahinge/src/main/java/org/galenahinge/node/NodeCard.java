package org.galenahinge.node;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.wire.WireAddress;

/**
 * How an entry is known to the other nodes: its text is its name among the members, so that whoever hears of it can
 * reach it.
 *
 * @param name the name of its VM
 * @param zone its failure domain
 * @param address its IP address
 * @param callersPort where callers connect
 * @param nodesPort where other nodes connect
 * @param membershipPort where its membership datagrams go
 */
public record NodeCard(String name, String zone, String address, int callersPort, int nodesPort, int membershipPort) {
    private static final String SEPARATOR = ";";
    private static final int PARTS = 6;

    /** Checks the parts. */
    public NodeCard {
        for (String part : List.of(name, zone, address)) {
            if (part.isEmpty() || part.contains(SEPARATOR)) {
                throw new IllegalArgumentException("not a part of a node's card: " + part);
            }
        }
    }

    /**
     * Reads a card.
     *
     * @param text its text
     * @return the card, or empty when the text is none
     */
    public static Optional<NodeCard> parse(String text) {
        List<String> parts = List.of(Objects.requireNonNull(text, "text").split(SEPARATOR, -1));
        if (parts.size() != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new NodeCard(
                    parts.get(0),
                    parts.get(1),
                    parts.get(2),
                    Integer.parseInt(parts.get(3)),
                    Integer.parseInt(parts.get(4)),
                    Integer.parseInt(parts.get(5))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the card as text.
     *
     * @return the text
     */
    public String text() {
        return String.join(
                SEPARATOR,
                name,
                zone,
                address,
                Integer.toString(callersPort),
                Integer.toString(nodesPort),
                Integer.toString(membershipPort));
    }

    WireAddress callers() {
        return new WireAddress(address, callersPort);
    }

    WireAddress nodes() {
        return new WireAddress(address, nodesPort);
    }

    WireAddress membership() {
        return new WireAddress(address, membershipPort);
    }
}
