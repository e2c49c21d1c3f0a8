package org.galenahinge.membership;

import java.util.Objects;
import org.galenahinge.wire.WireAddress;

/**
 * Describes one VM of the fleet and the process of the system on it.
 *
 * @param name the VM's name
 * @param kind which process of the system runs on it
 * @param address its IP address
 * @param wirePort the TCP port for links
 * @param httpPort the TCP port for HTTP
 * @param region its region
 * @param failureDomain its failure domain
 * @param leaving whether the platform says that it leaves
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
    /** Checks the parts. */
    public Vm {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }

    /**
     * Returns where the process on this VM listens for links.
     *
     * @return the address
     */
    public WireAddress wireAddress() {
        return new WireAddress(address, wirePort);
    }

    /** Which process of the system runs on a VM. */
    public enum Kind {
        /** An entry. */
        ENTRY,
        /** A slot process before an upstream. */
        UPSTREAM
    }
}
