package org.galenahinge.catalog;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions in which a request may be served. Immutable.
 *
 * @param names the names of the regions; empty if any region is allowed, a set without elements if none is
 */
public record AllowedRegions(Optional<Set<String>> names) {
    private static final AllowedRegions ANY = new AllowedRegions(Optional.empty());

    /** Copies the names. */
    public AllowedRegions {
        names = names.map(Set::copyOf);
    }

    /**
     * Returns the absence of a restriction.
     *
     * @return any region
     */
    public static AllowedRegions any() {
        return ANY;
    }

    /**
     * Returns the regions that a list of the configuration allows.
     *
     * @param listed the listed regions
     * @return these regions, or any region if none is listed
     */
    public static AllowedRegions listed(Set<String> listed) {
        return listed.isEmpty() ? ANY : new AllowedRegions(Optional.of(listed));
    }

    /**
     * Returns the regions that are allowed here and by another list.
     *
     * @param other the other regions
     * @return the intersection; no region if the two have none in common
     */
    public AllowedRegions and(AllowedRegions other) {
        if (names.isEmpty()) {
            return other;
        }
        if (other.names.isEmpty()) {
            return this;
        }
        Set<String> common = new HashSet<>(names.get());
        common.retainAll(other.names.get());
        return new AllowedRegions(Optional.of(common));
    }

    /**
     * Returns whether any region is allowed.
     *
     * @return whether there is no restriction
     */
    public boolean isAny() {
        return names.isEmpty();
    }

    /**
     * Returns whether a region is allowed.
     *
     * @param region the region
     * @return whether requests may be served there
     */
    public boolean allows(String region) {
        return names.isEmpty() || names.get().contains(region);
    }

    /**
     * Returns whether at least one of several regions is allowed.
     *
     * @param regions the regions
     * @return whether requests may be served in one of them
     */
    public boolean allowsOneOf(Collection<String> regions) {
        return regions.stream().anyMatch(this::allows);
    }
}
