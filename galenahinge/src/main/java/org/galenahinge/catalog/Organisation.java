package org.galenahinge.catalog;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * An organisation whose callers send requests; the key of a request identifies it.
 *
 * @param name its name
 * @param priority its priority, 0 highest; if present it overrides the route's priority
 */
public record Organisation(String name, OptionalInt priority) {
    public Organisation {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(priority, "priority");
    }
}
