package org.galenahinge.gateway;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.galenahinge.placement.PlacementCandidate;
import org.galenahinge.placement.RetryAfterPause;
import org.galenahinge.upstream.Upstream;

/**
 * The times that upstreams named before their records disappeared, for those whose records come back: a record may be
 * missing for a while although its upstream runs, for example while the store is down. Used by one thread only.
 */
final class DepartedPauses {
    /** The oldest are forgotten first. */
    private static final int MAXIMUM_KEPT = 256;

    private final Map<String, Departed> byId = new LinkedHashMap<>();

    private record Departed(Upstream upstream, RetryAfterPause pause) {}

    /** Keeps the time that an upstream named, if it is not over. */
    void keep(PlacementCandidate candidate, long nowNanos) {
        byId.values().removeIf(departed -> !departed.pause().isActive(nowNanos));
        RetryAfterPause pause = candidate.load().pause();
        if (!pause.isActive(nowNanos)) {
            return;
        }
        byId.put(candidate.upstream().id(), new Departed(candidate.upstream(), pause));
        if (byId.size() > MAXIMUM_KEPT) {
            Iterator<Departed> oldest = byId.values().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the time that this incarnation of an upstream named, or a new one without a time. */
    RetryAfterPause pauseOf(Upstream upstream) {
        Departed departed = byId.remove(upstream.id());
        return departed != null && departed.upstream().isSameIncarnation(upstream)
                ? departed.pause()
                : new RetryAfterPause();
    }
}
