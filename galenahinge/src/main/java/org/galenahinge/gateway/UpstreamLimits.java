package org.galenahinge.gateway;

import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.limit.NamedLimits;
import org.galenahinge.placement.Placement;
import org.galenahinge.upstream.Upstream;

/** The limits that upstreams name, and those of cold upstreams. Used by one thread only. */
final class UpstreamLimits implements Placement.UpstreamLimit {
    private final NamedLimits limits;
    private final ColdUpstreams coldUpstreams;
    private final Timers timers;

    UpstreamLimits(NamedLimits limits, ColdUpstreams coldUpstreams, Timers timers) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.coldUpstreams = Objects.requireNonNull(coldUpstreams, "coldUpstreams");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    @Override
    public boolean allows(Upstream upstream, long nowNanos) {
        return limits.isEmpty() || limits.allows(upstream.incarnationKey(), nowNanos);
    }

    @Override
    public double coldShare(Upstream upstream, long nowNanos) {
        return coldUpstreams.coldShare(upstream, nowNanos);
    }

    /** Records whether a response of an upstream named a limit. */
    void recordResponse(Upstream upstream, OptionalDouble perSecond) {
        if (perSecond.isPresent() || !limits.isEmpty()) {
            limits.recordResponse(upstream.incarnationKey(), perSecond, timers.nanoTime());
        }
    }

    /**
     * Records that a request is placed at an upstream, which uses a turn.
     *
     * @return when its turn at a cold upstream lapses, in nanoseconds; empty if the upstream is not cold
     */
    OptionalLong recordPlaced(Upstream upstream) {
        if (limits.isEmpty()) {
            return OptionalLong.empty();
        }
        long now = timers.nanoTime();
        OptionalLong lapseNanos = limits.recordSent(upstream.incarnationKey(), now);
        return limits.isCold(upstream.incarnationKey(), now) ? lapseNanos : OptionalLong.empty();
    }

    /**
     * Returns whether a request that was placed before may be sent now. At a cold upstream it needs a turn that has not
     * lapsed, and takes another one if there is one: the upstream may have become cold since the placement.
     */
    boolean maySend(Upstream upstream, OptionalLong lapseNanos) {
        long now = timers.nanoTime();
        boolean hasTurn = lapseNanos.isPresent() && now - lapseNanos.getAsLong() < 0;
        if (hasTurn || !limits.isCold(upstream.incarnationKey(), now)) {
            return true;
        }
        return limits.recordSent(upstream.incarnationKey(), now).isPresent();
    }
}
