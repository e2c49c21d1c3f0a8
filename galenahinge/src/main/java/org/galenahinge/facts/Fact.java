package org.galenahinge.facts;

import org.galenahinge.catalog.Catalog;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.WeightsVersion;

/** What an item means to the product. */
public sealed interface Fact {
    /**
     * The operators published a configuration.
     *
     * @param catalog the configuration
     */
    record Configured(Catalog catalog) implements Fact {}

    /**
     * An upstream describes itself.
     *
     * @param upstream the description
     */
    record Present(Upstream upstream) implements Fact {}

    /**
     * An upstream's entry is gone, or names no upstream that can be used.
     *
     * @param id the upstream
     * @param detail why
     */
    record Absent(String id, String detail) implements Fact {}

    /**
     * The operators named the version of a model that all upstreams are to hold.
     *
     * @param weights the model and its version
     */
    record Named(WeightsVersion weights) implements Fact {}

    /**
     * The item cannot be read and changes nothing.
     *
     * @param key the item's key
     * @param detail why
     */
    record Unreadable(String key, String detail) implements Fact {}

    /** The item does not concern the product. */
    record Foreign() implements Fact {}
}
