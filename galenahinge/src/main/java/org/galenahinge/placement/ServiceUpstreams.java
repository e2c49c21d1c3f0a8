package org.galenahinge.placement;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.catalog.EngineProfile;

/**
 * All upstreams of a service, with what this node knows of their load.
 *
 * @param candidates the upstreams
 * @param engine the figures of the service's engines, empty for a plain service
 * @param promptSizes how prompts of different sizes are treated
 */
public record ServiceUpstreams(
        List<PlacementCandidate> candidates, Optional<EngineProfile> engine, PromptSizePolicy promptSizes) {
    /** Rejects null components and copies the upstreams. */
    public ServiceUpstreams {
        candidates = List.copyOf(candidates);
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(promptSizes, "promptSizes");
    }

    /**
     * Creates a service that treats prompts of all sizes alike.
     *
     * @param candidates the upstreams
     * @param engine the figures of the service's engines, empty for a plain service
     */
    public ServiceUpstreams(List<PlacementCandidate> candidates, Optional<EngineProfile> engine) {
        this(candidates, engine, PromptSizePolicy.NONE);
    }

    /**
     * Returns whether this node uses less than half of its share of the slots of all engines that serve, where requests
     * may be sent to all of them.
     *
     * @param nodes number of nodes that send to the service
     * @param nowNanos the time, in nanoseconds
     * @return whether it may claim slots that other nodes use
     */
    public boolean mayClaimSlots(int nodes, long nowNanos) {
        return mayClaimSlots(nodes, Availability.ALL, nowNanos);
    }

    /**
     * Returns whether this node uses less than half of its share of the slots of all engines that serve, for example
     * because it has just started, while the other nodes use theirs without a pause.
     *
     * @param nodes number of nodes that send to the service
     * @param availability to which upstreams requests may be sent; the others and the requests there do not count
     * @param nowNanos the time, in nanoseconds
     * @return whether it may claim slots that other nodes use
     */
    public boolean mayClaimSlots(int nodes, Availability availability, long nowNanos) {
        if (engine.isEmpty()) {
            return true;
        }
        int own = 0;
        int serving = 0;
        for (PlacementCandidate candidate : candidates) {
            if (!availability.isAvailable(candidate.upstream())) {
                continue;
            }
            own += candidate.load().ownInFlight();
            serving += candidate.load().isServing(nowNanos) ? 1 : 0;
        }
        return 2L * own * Math.max(1, nodes) < (long) serving * engine.get().slots();
    }
}
