package org.galenahinge.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.galenahinge.upstream.Upstream;

/**
 * Upstreams that have just started and that only their slot processes tell of so far. Once the store has shown an entry,
 * only the store counts, also when the entry goes. Belongs to one thread.
 */
final class NewUpstreams {
    private static final Duration HEARD_WITHIN = Duration.ofMillis(1_200);
    private static final int MOST = 1_024;
    private static final int LISTED_KEPT = 8_192;

    private final Map<String, Heard> heard = new HashMap<>();
    private final Set<String> listed = new LinkedHashSet<>();

    private record Heard(Upstream upstream, long atNanos) {}

    /** Takes in the entries that the store shows. */
    void listed(Collection<Upstream> upstreams) {
        for (Upstream upstream : upstreams) {
            listed.add(upstream.id());
            heard.remove(upstream.id());
        }
        if (listed.size() > LISTED_KEPT) {
            List<String> oldestFirst = new ArrayList<>(listed);
            oldestFirst.subList(0, listed.size() - LISTED_KEPT).forEach(listed::remove);
        }
    }

    /**
     * Takes in what a slot process says.
     *
     * @param upstream the upstream that has just started
     * @param nowNanos the time, in nanoseconds
     * @return whether {@link #all} has changed by it
     */
    boolean heard(Upstream upstream, long nowNanos) {
        if (listed.contains(upstream.id()) || (heard.size() >= MOST && !heard.containsKey(upstream.id()))) {
            return false;
        }
        Heard before = heard.put(upstream.id(), new Heard(upstream, nowNanos));
        return before == null || !before.upstream().equals(upstream);
    }

    /**
     * Drops those that are no longer told of.
     *
     * @param nowNanos the time, in nanoseconds
     * @return whether {@link #all} has changed by it
     */
    boolean expire(long nowNanos) {
        return heard.values().removeIf(known -> nowNanos - known.atNanos() >= HEARD_WITHIN.toNanos());
    }

    /** The entries of the store with those that are not there yet. */
    Collection<Upstream> all(Collection<Upstream> fromStore) {
        Map<String, Upstream> all = new LinkedHashMap<>();
        heard.values().forEach(known -> all.put(known.upstream().id(), known.upstream()));
        fromStore.forEach(upstream -> all.put(upstream.id(), upstream));
        return all.values();
    }
}
