package org.galenahinge.placement;

import org.galenahinge.upstream.Upstream;

/** Tells to which upstreams the operators let requests be sent. */
@FunctionalInterface
public interface Availability {
    /** Lets requests be sent to all upstreams. */
    Availability ALL = upstream -> true;

    /**
     * Returns whether an upstream may get requests. One that may not is in an evacuated failure domain.
     *
     * @param upstream the upstream
     * @return whether it may
     */
    boolean isAvailable(Upstream upstream);
}
