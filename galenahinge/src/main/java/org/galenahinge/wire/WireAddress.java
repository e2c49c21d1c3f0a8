package org.galenahinge.wire;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Objects;

/**
 * The IP address and port that a process listens on.
 *
 * @param host an IP address
 * @param port a port, from 1 to 65535
 */
public record WireAddress(String host, int port) {
    /** Checks the range of the port. */
    public WireAddress {
        Objects.requireNonNull(host, "host");
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port must be from 1 to 65535: " + port);
        }
    }

    /**
     * Parses an address.
     *
     * @param text the address as host:port
     * @return the address
     * @throws IllegalArgumentException when the text is not a host and a valid port
     */
    public static WireAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not host and port: " + text);
        }
        try {
            return new WireAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not host and port: " + text, e);
        }
    }

    /**
     * Returns this address as a socket address.
     *
     * @return the socket address
     */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    /**
     * Returns the address of an HTTP server that listens here.
     *
     * @return the URI, without a path
     */
    public URI toHttpUri() {
        return URI.create("http://" + this);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
