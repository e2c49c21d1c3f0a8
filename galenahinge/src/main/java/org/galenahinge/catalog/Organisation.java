package org.galenahinge.catalog;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Who sent a request, found by its key.
 *
 * @param name its name
 * @param priority its rank, 0 first, where it has one; it goes before the route's
 */
public record Organisation(String name, OptionalInt priority) {
    /** Checks the parts. */
    public Organisation {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(priority, "priority");
    }
}
