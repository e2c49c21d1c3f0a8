package org.galenahinge.node;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.wire.WireAddress;

/**
 * The name, failure domain and addresses of an entry. Its text form is the member name in the membership protocol, so
 * that a node that learns of a member also learns how to connect to it.
 *
 * @param name the name of its VM
 * @param zone its failure domain
 * @param address its IP address
 * @param callersPort the TCP port for callers
 * @param nodesPort the TCP port for other nodes
 * @param membershipPort the UDP port for membership datagrams
 */
public record NodeAddress(
        String name, String zone, String address, int callersPort, int nodesPort, int membershipPort) {
    private static final String SEPARATOR = ";";
    private static final int PARTS = 6;

    /** Rejects texts that are empty or contain the separator. */
    public NodeAddress {
        for (String part : List.of(name, zone, address)) {
            if (part.isEmpty() || part.contains(SEPARATOR)) {
                throw new IllegalArgumentException("empty text or ';' in a node address: " + part);
            }
        }
    }

    /**
     * Parses the text form.
     *
     * @param text the text
     * @return the node address, or empty when the text is malformed
     */
    public static Optional<NodeAddress> parse(String text) {
        List<String> parts = List.of(Objects.requireNonNull(text, "text").split(SEPARATOR, -1));
        if (parts.size() != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new NodeAddress(
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
     * Returns the text form: the six components in order, separated by semicolons.
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

    WireAddress gossip() {
        return new WireAddress(address, NodeSettings.gossipPort(membershipPort));
    }
}
