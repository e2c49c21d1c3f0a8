package org.galenahinge.gateway;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.http.HttpConnection;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.quarantine.Crash;
import org.galenahinge.quarantine.CrashLedger;
import org.galenahinge.quarantine.CrashLedger.AgedCrash;
import org.galenahinge.quarantine.RequestTrait;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.UpstreamPool;

/**
 * Finds out whether an upstream has crashed after a connection to it was lost: it has if it accepts no new connection.
 * Records the traits of the requests that were there; those of responses that were complete, but for the end of their
 * connections, are recorded as served if the upstream runs. Used by the gateway's thread only.
 */
final class CrashDetector {
    /** The connections of one crash are lost one after the other within this time. */
    private static final Duration WATCH_TIME = Duration.ofSeconds(2);

    /** How long a new connection must stay open as a sign that its upstream runs. */
    private static final Duration CONFIRMATION_TIME = Duration.ofMillis(150);

    private static final int MAXIMUM_WATCHED = 256;

    private final CrashLedger ledger;
    private final Timers timers;
    private final EventLog log;
    private final Map<String, Watch> watches = new LinkedHashMap<>();

    CrashDetector(CrashLedger ledger, Timers timers, EventLog log) {
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** The requests that lost their connection to one incarnation of an upstream. */
    private static final class Watch {
        private final Upstream upstream;
        private final long startedNanos;
        private final Set<RequestTrait> traits = new LinkedHashSet<>();
        private final Set<RequestTrait> servedIfRunning = new LinkedHashSet<>();
        private boolean crashed;

        Watch(Upstream upstream, long startedNanos) {
            this.upstream = upstream;
            this.startedNanos = startedNanos;
        }
    }

    /**
     * Records that a request has lost its connection.
     *
     * @param upstream the upstream
     * @param pool the connections to it
     * @param traits the traits of the request that may have crashed it
     */
    void connectionLost(Upstream upstream, UpstreamPool pool, List<RequestTrait> traits) {
        watch(upstream, pool, traits);
    }

    /**
     * Records that a response has ended with its connection, which looks the same where the upstream crashed.
     *
     * @param upstream the upstream
     * @param pool the connections to it
     * @param traits the traits of the request, which are served if the upstream runs
     */
    void connectionEnded(Upstream upstream, UpstreamPool pool, List<RequestTrait> traits) {
        watch(upstream, pool, traits).ifPresent(watch -> watch.servedIfRunning.addAll(traits));
    }

    /** Watches an upstream; returns nothing if there is nothing to find out, or if too many are watched. */
    private Optional<Watch> watch(Upstream upstream, UpstreamPool pool, List<RequestTrait> traits) {
        long now = timers.nanoTime();
        watches.values().removeIf(watch -> now - watch.startedNanos >= WATCH_TIME.toNanos());
        if (traits.isEmpty() || (!watches.containsKey(upstream.id()) && watches.size() >= MAXIMUM_WATCHED)) {
            return Optional.empty();
        }
        Watch watch = watches.get(upstream.id());
        if (watch == null || !watch.upstream.isSameIncarnation(upstream)) {
            watch = new Watch(upstream, now);
            watches.put(upstream.id(), watch);
            probe(watch, pool, true);
        }
        watch.traits.addAll(traits);
        if (watch.crashed) {
            record(watch);
        }
        return Optional.of(watch);
    }

    /** Opens a connection. One that is closed again at once was accepted by an upstream that was about to end. */
    private void probe(Watch watch, UpstreamPool pool, boolean first) {
        pool.open(new HttpConnection.ConnectListener() {
            @Override
            public void onConnected(HttpConnection connection) {
                timers.schedule(CONFIRMATION_TIME, () -> confirm(watch, pool, connection, first));
            }

            @Override
            public void onConnectFailed(String detail) {
                watch.crashed = true;
                record(watch);
            }
        });
    }

    private void confirm(Watch watch, UpstreamPool pool, HttpConnection connection, boolean first) {
        if (first && !connection.isUsable(1)) {
            probe(watch, pool, false);
            return;
        }
        pool.release(connection);
        watches.remove(watch.upstream.id(), watch);
        ledger.recordServed(watch.servedIfRunning, timers.nanoTime());
    }

    private void record(Watch watch) {
        long now = timers.nanoTime();
        Duration age = Duration.ofNanos(now - watch.startedNanos);
        log.event(Category.BELIEF, "upstream_crashed")
                .with("upstream", watch.upstream.id())
                .with("traits", RequestTrait.join(watch.traits))
                .write();
        ledger.add(new AgedCrash(new Crash(watch.upstream.incarnationKey(), watch.traits, Set.of()), age), now);
    }
}
