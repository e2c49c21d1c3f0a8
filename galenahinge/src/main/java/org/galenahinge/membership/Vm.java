package org.galenahinge.membership;

import java.util.Objects;
import org.galenahinge.wire.WireAddress;

/**
 * A VM of the fleet and the node that runs on it.
 *
 * @param name the name of the VM
 * @param kind which kind of node runs on it
 * @param address the IP address
 * @param wirePort the TCP port for connections between nodes
 * @param httpPort the TCP port for HTTP
 * @param region the region
 * @param failureDomain the failure domain
 * @param leaving whether the platform is about to remove the VM
 */
public record Vm(
        String name,
        Kind kind,
        String address,
        int wirePort,
        int httpPort,
        String region,
        String failureDomain,
        boolean leaving) {
    private static final int MAXIMUM_PORT = 65_535;

    /** Rejects null components and ports out of range. */
    public Vm {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(failureDomain, "failureDomain");
        checkPort("wirePort", wirePort);
        checkPort("httpPort", httpPort);
    }

    /**
     * Returns where the node on this VM accepts connections of other nodes.
     *
     * @return the IP address and the TCP port
     */
    public WireAddress wireAddress() {
        return new WireAddress(address, wirePort);
    }

    private static void checkPort(String name, int port) {
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException(name + " must be from 1 to " + MAXIMUM_PORT + ": " + port);
        }
    }

    /** The kind of node that runs on a VM. */
    public enum Kind {
        /** An entry. */
        ENTRY,
        /** A slot process in front of an upstream. */
        UPSTREAM
    }
}
