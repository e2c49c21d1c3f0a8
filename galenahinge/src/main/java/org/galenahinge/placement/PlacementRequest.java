package org.galenahinge.placement;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.galenahinge.catalog.AllowedRegions;

/**
 * What a request requires of the upstream that serves it.
 *
 * @param prompt its size, empty for a plain request
 * @param excluded ids of upstreams that must not get it because it was sent to them already
 * @param minimumVersion minimum version of the weights that may serve it
 * @param late whether its response can no longer be on time, so that the last free slots are left to requests whose
 *     response can
 * @param allowedRegions the regions in which it may be served
 */
public record PlacementRequest(
        Optional<PromptShape> prompt,
        Set<String> excluded,
        OptionalLong minimumVersion,
        boolean late,
        AllowedRegions allowedRegions) {
    /** Rejects null components and copies the set. */
    public PlacementRequest {
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(minimumVersion, "minimumVersion");
        Objects.requireNonNull(allowedRegions, "allowedRegions");
        excluded = Set.copyOf(excluded);
    }

    /**
     * Creates the requirements of a request that may be served in any region.
     *
     * @param prompt its size, empty for a plain request
     * @param excluded ids of upstreams that must not get it because it was sent to them already
     * @param minimumVersion minimum version of the weights that may serve it
     * @param late whether its response can no longer be on time
     */
    public PlacementRequest(
            Optional<PromptShape> prompt, Set<String> excluded, OptionalLong minimumVersion, boolean late) {
        this(prompt, excluded, minimumVersion, late, AllowedRegions.any());
    }
}
