package org.galenahinge.catalog;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;

/**
 * An organisation whose callers send requests; the key of a request identifies it.
 *
 * @param name its name
 * @param priority its priority, 0 highest; if present it overrides the route's priority
 * @param allowedRegions the regions in which its requests may be served, empty for any
 */
public record Organisation(String name, OptionalInt priority, Set<String> allowedRegions) {
    /** Rejects null components and copies the set. */
    public Organisation {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(priority, "priority");
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Creates an organisation whose requests may be served in any region.
     *
     * @param name its name
     * @param priority its priority, 0 highest; if present it overrides the route's priority
     */
    public Organisation(String name, OptionalInt priority) {
        this(name, priority, Set.of());
    }
}
