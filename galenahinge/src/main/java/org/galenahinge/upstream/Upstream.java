package org.galenahinge.upstream;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.routing.Rendezvous;
import org.galenahinge.wire.WireAddress;

/**
 * One incarnation of an upstream, as its record in the store describes it; it may also have said itself that it leaves.
 *
 * @param id its id, unique among all running upstreams
 * @param service the service that it belongs to
 * @param address the address that it listens on
 * @param zone its failure domain
 * @param slots how many requests it processes at once, at least 1
 * @param leaving whether it must get no new requests
 * @param weights the weights that it holds completely, empty for none or a plain service
 * @param bornMillis identifies the incarnation: its start time in milliseconds since 1970 by its own clock, 0 if unknown
 * @param revision the store's revision of the upstream record
 * @param coldRemaining how long it was still cold when the record was written, zero if it was warm
 */
public record Upstream(
        String id,
        String service,
        WireAddress address,
        String zone,
        int slots,
        boolean leaving,
        Optional<WeightsVersion> weights,
        long bornMillis,
        long revision,
        Duration coldRemaining) {
    /** Rejects null components, fewer than one slot and a negative cold time. */
    public Upstream {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(weights, "weights");
        Objects.requireNonNull(coldRemaining, "coldRemaining");
        if (coldRemaining.isNegative()) {
            throw new IllegalArgumentException("coldRemaining must not be negative: " + coldRemaining);
        }
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1: " + slots);
        }
    }

    /**
     * Creates an upstream that is warm.
     *
     * @param id its id, unique among all running upstreams
     * @param service the service that it belongs to
     * @param address the address that it listens on
     * @param zone its failure domain
     * @param slots how many requests it processes at once, at least 1
     * @param leaving whether it must get no new requests
     * @param weights the weights that it holds completely, empty for none or a plain service
     * @param bornMillis identifies the incarnation, 0 if unknown
     * @param revision the store's revision of the upstream record
     */
    public Upstream(
            String id,
            String service,
            WireAddress address,
            String zone,
            int slots,
            boolean leaving,
            Optional<WeightsVersion> weights,
            long bornMillis,
            long revision) {
        this(id, service, address, zone, slots, leaving, weights, bornMillis, revision, Duration.ZERO);
    }

    /**
     * Returns the same upstream, which must get no new requests.
     *
     * @return a copy that is leaving
     */
    public Upstream asLeaving() {
        return new Upstream(id, service, address, zone, slots, true, weights, bornMillis, revision, coldRemaining);
    }

    /**
     * Returns a number that identifies this incarnation on all nodes.
     *
     * @return a hash of id and start time
     */
    public long incarnationKey() {
        return Rendezvous.key(id + ";" + bornMillis);
    }

    /**
     * Returns whether both records describe the same incarnation of the same upstream, so that its connections and counts
     * remain valid.
     *
     * @param other another record
     * @return whether id, address and start time are equal
     */
    public boolean isSameIncarnation(Upstream other) {
        return id.equals(other.id) && address.equals(other.address) && bornMillis == other.bornMillis;
    }
}
