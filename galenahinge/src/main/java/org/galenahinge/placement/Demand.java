package org.galenahinge.placement;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What a request asks of the upstream that is to serve it.
 *
 * @param prompt its size, empty for a plain request
 * @param excluded ids of upstreams that must not get it, because it was there already
 * @param leastVersion the least version of the weights that it may begin on
 * @param late whether it can no longer be on time, so that the last places are left to those that can
 */
public record Demand(Optional<PromptShape> prompt, Set<String> excluded, OptionalLong leastVersion, boolean late) {
    /** Checks and copies the parts. */
    public Demand {
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(leastVersion, "leastVersion");
        excluded = Set.copyOf(excluded);
    }
}
