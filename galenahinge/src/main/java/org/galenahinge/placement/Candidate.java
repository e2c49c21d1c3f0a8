package org.galenahinge.placement;

import java.util.Objects;
import org.galenahinge.upstream.Upstream;

/**
 * An upstream with what is known of its load.
 *
 * @param upstream the upstream
 * @param load its load
 */
public record Candidate(Upstream upstream, UpstreamLoad load) {
    /** Checks the parts. */
    public Candidate {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(load, "load");
    }
}
