package org.galenahinge.placement;

import java.time.Duration;

/** How a service treats prompts of different sizes that share its upstreams. */
public interface PromptSizePolicy {
    /** Treats prompts of all sizes alike. */
    PromptSizePolicy NONE = new PromptSizePolicy() {};

    /**
     * Returns the delay that placement adds to the predicted response for the prompts of other nodes that an upstream has
     * probably not read yet.
     *
     * @param load what this node knows of the upstream's load
     * @param nowNanos the time, in nanoseconds
     * @return milliseconds
     */
    default double penaltyMillis(UpstreamLoad load, long nowNanos) {
        return 0;
    }

    /**
     * Returns how long before its target a request stops waiting for a slot, so that its response can still start on time.
     *
     * @param prompt the size of the request
     * @param usual the time that is kept for requests of all sizes without a policy
     * @return the time from placement to the first event
     */
    default Duration slotWaitMargin(PromptShape prompt, Duration usual) {
        return usual;
    }

    /**
     * Returns the place of a request among those of equal priority that wait for a slot: the lowest goes first.
     *
     * @param arrivedNanos when it arrived, in nanoseconds
     * @param waitEndNanos when it stops waiting, in nanoseconds
     * @return nanoseconds; it may lie after the arrival
     */
    default long queueOrderNanos(long arrivedNanos, long waitEndNanos) {
        return arrivedNanos;
    }
}
