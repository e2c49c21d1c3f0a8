package org.galenahinge.wire;

import java.util.Objects;

/**
 * Names where a process listens for links.
 *
 * @param host an IP address
 * @param port a TCP port, from 1 to 65535
 */
public record WireAddress(String host, int port) {
    /** Checks the parts. */
    public WireAddress {
        Objects.requireNonNull(host, "host");
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port must be from 1 to 65535: " + port);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
