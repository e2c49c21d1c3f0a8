package org.galenahinge.placement;

import java.util.Objects;
import org.galenahinge.upstream.Upstream;

/**
 * An upstream of the requested service, with what this node knows of its load.
 *
 * @param upstream the upstream
 * @param load its load
 */
public record PlacementCandidate(Upstream upstream, UpstreamLoad load) {
    /** Rejects null components. */
    public PlacementCandidate {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(load, "load");
    }
}
