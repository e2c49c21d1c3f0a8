package org.galenahinge.facts;

import org.galenahinge.catalog.Catalog;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.WeightsVersion;

/** A decoded item of the store. */
public sealed interface Fact {
    /**
     * The operators published a configuration.
     *
     * @param catalog the configuration
     */
    record ConfigurationPublished(Catalog catalog) implements Fact {}

    /**
     * An upstream record was written.
     *
     * @param upstream the upstream that it describes
     */
    record UpstreamPresent(Upstream upstream) implements Fact {}

    /**
     * An upstream record was removed, or describes no usable upstream.
     *
     * @param id the id of the upstream
     * @param detail the reason, one line for the log
     */
    record UpstreamAbsent(String id, String detail) implements Fact {}

    /**
     * The operators named the version of a model that all upstreams must load.
     *
     * @param weights the model and its version
     */
    record VersionNamed(WeightsVersion weights) implements Fact {}

    /**
     * The operators evacuate a failure domain: its upstreams get no further requests.
     *
     * @param zone the failure domain
     */
    record EvacuationBegun(String zone) implements Fact {}

    /**
     * The operators no longer evacuate a failure domain.
     *
     * @param zone the failure domain
     */
    record EvacuationEnded(String zone) implements Fact {}

    /**
     * The item cannot be decoded; it changes nothing.
     *
     * @param key the item's key
     * @param detail the reason, one line for the log
     */
    record Unreadable(String key, String detail) implements Fact {}

    /** The item belongs to another system; it changes nothing. */
    record Unrelated() implements Fact {}
}
