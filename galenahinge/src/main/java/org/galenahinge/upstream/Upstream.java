package org.galenahinge.upstream;

import java.util.Objects;
import java.util.Optional;
import org.galenahinge.wire.WireAddress;

/**
 * One life of an upstream, as its entry in the store describes it.
 *
 * @param id its name, unique among all that live
 * @param service the service that it belongs to
 * @param address where it listens
 * @param zone its failure domain
 * @param slots requests that it processes at once
 * @param leaving whether it is to get no new requests
 * @param weights the weights that it holds whole, empty for none or a plain service
 * @param bornMillis when it started, in milliseconds since 1970 by its own clock; 0 where it does not say
 * @param revision the store's revision of the entry
 */
public record Upstream(
        String id,
        String service,
        WireAddress address,
        String zone,
        int slots,
        boolean leaving,
        Optional<HeldWeights> weights,
        long bornMillis,
        long revision) {
    /** Checks the parts. */
    public Upstream {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(weights, "weights");
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1: " + slots);
        }
    }

    /**
     * Tells whether this is the same life of the same upstream, so that connections and counts still hold.
     *
     * @param other another description
     * @return whether id, address and start agree
     */
    public boolean isSameLife(Upstream other) {
        return id.equals(other.id) && address.equals(other.address) && bornMillis == other.bornMillis;
    }
}
