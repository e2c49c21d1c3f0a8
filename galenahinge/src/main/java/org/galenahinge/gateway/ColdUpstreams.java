package org.galenahinge.gateway;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.ColdStart;
import org.galenahinge.catalog.ColdStartBounds;
import org.galenahinge.catalog.Service;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.limit.NamedLimits;
import org.galenahinge.limit.NamedLimits.ColdPeriod;
import org.galenahinge.limit.TurnRate;
import org.galenahinge.log.EventLog;
import org.galenahinge.upstream.Upstream;

/**
 * Which upstreams are cold, by their records in the store: the cold time of a record counts from when this node read it.
 * Used by one thread only.
 */
final class ColdUpstreams {
    /** Requests that were sent before an upstream was known to be cold are in the same second as the first turns. */
    private static final Duration PAUSE_BEFORE_FIRST_TURN = Duration.ofSeconds(1);

    private final NamedLimits limits;
    private final ColdStartBounds bounds;
    private final Timers timers;
    private final EventLog log;
    private final Map<String, ColdRecord> records = new HashMap<>();
    private Map<String, Upstream> warm = Map.of();

    /** A record that gives a cold time. */
    private record ColdRecord(long incarnation, long revision, long firstTurnNanos, long endNanos, Duration total) {
        boolean isOf(Upstream upstream) {
            return incarnation == upstream.incarnationKey();
        }
    }

    ColdUpstreams(NamedLimits limits, ColdStartBounds bounds, Timers timers, EventLog log) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.bounds = Objects.requireNonNull(bounds, "bounds");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Applies the records of all upstreams, and the configuration that says how services warm up. */
    void refresh(Collection<Upstream> upstreams, Optional<Catalog> catalog) {
        Set<String> cold = new HashSet<>();
        Map<String, Upstream> nowWarm = new HashMap<>();
        for (Upstream upstream : upstreams) {
            Optional<ColdStart> coldStart = catalog.map(
                            known -> known.services().get(upstream.service()))
                    .flatMap(Service::coldStart);
            if (coldStart.isEmpty()) {
                continue;
            }
            if (upstream.coldRemaining().isZero()) {
                nowWarm.put(upstream.id(), upstream);
            } else {
                cold.add(upstream.id());
                apply(upstream, coldStart.get());
            }
        }
        records.entrySet().removeIf(known -> {
            boolean gone = !cold.contains(known.getKey());
            if (gone) {
                limits.setWarm(known.getValue().incarnation());
            }
            return gone;
        });
        warm = nowWarm;
    }

    /** Returns the part of its cold time that an upstream still has ahead, from 0 (warm) to 1. */
    double coldShare(Upstream upstream, long nowNanos) {
        ColdRecord known = records.get(upstream.id());
        if (known == null || !known.isOf(upstream)) {
            return 0;
        }
        double share = (double) (known.endNanos() - nowNanos) / known.total().toNanos();
        return Math.max(0, Math.min(1, share));
    }

    /** Returns the number of upstreams that are cold now. */
    long count() {
        long now = timers.nanoTime();
        return records.values().stream()
                .filter(known -> now - known.endNanos() < 0)
                .count();
    }

    private void apply(Upstream upstream, ColdStart coldStart) {
        long now = timers.nanoTime();
        ColdRecord known = records.get(upstream.id());
        boolean isKnown = known != null && known.isOf(upstream);
        // Reading the same record again must not make the time longer.
        boolean isRead = isKnown && known.revision() == upstream.revision();
        long endNanos =
                isRead ? known.endNanos() : now + upstream.coldRemaining().toNanos();
        if (known != null && !isKnown) {
            limits.setWarm(known.incarnation());
        }
        boolean wasCold = isKnown && now - known.endNanos() < 0;
        boolean isCold = now - endNanos < 0;
        Duration total = longer(coldStart.duration(), upstream.coldRemaining());
        boolean servedWhileWarm = (isKnown && !wasCold) || wasWarm(upstream);
        long firstTurnNanos = servedWhileWarm ? now + PAUSE_BEFORE_FIRST_TURN.toNanos() : now;
        if (wasCold) {
            firstTurnNanos = known.firstTurnNanos();
        }
        records.put(
                upstream.id(),
                new ColdRecord(upstream.incarnationKey(), upstream.revision(), firstTurnNanos, endNanos, total));
        if (!isCold) {
            limits.setWarm(upstream.incarnationKey());
            return;
        }
        limits.setCold(
                upstream.incarnationKey(),
                new ColdPeriod(TurnRate.within(bounds, coldStart.requestsPerSecond()), firstTurnNanos, endNanos),
                now);
        if (!wasCold) {
            log.event(EventLog.Category.BELIEF, "upstream_cold")
                    .with("upstream", upstream.id())
                    .with("service", upstream.service())
                    .with("remaining_ms", Duration.ofNanos(endNanos - now).toMillis())
                    .with("revision", upstream.revision())
                    .write();
        }
    }

    private boolean wasWarm(Upstream upstream) {
        Upstream before = warm.get(upstream.id());
        return before != null && before.isSameIncarnation(upstream);
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? second : first;
    }
}
