package org.galenahinge.gateway;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.http.HttpConnection;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.quarantine.Crash;
import org.galenahinge.quarantine.CrashLedger;
import org.galenahinge.quarantine.CrashLedger.AgedCrash;
import org.galenahinge.quarantine.PromptPart;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.UpstreamPool;

/**
 * Finds out whether an engine has crashed after a connection to it was lost before the first event: it has if it accepts no
 * new connection. Records the parts of the prompts that were there. Used by the gateway's thread only.
 */
final class CrashDetector {
    /** The connections of one crash are lost one after the other within this time. */
    private static final Duration WATCH_TIME = Duration.ofSeconds(2);

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

    /** The requests that lost their connection to one incarnation of an engine. */
    private static final class Watch {
        private final Upstream upstream;
        private final long startedNanos;
        private final Set<PromptPart> parts = new LinkedHashSet<>();
        private boolean crashed;

        Watch(Upstream upstream, long startedNanos) {
            this.upstream = upstream;
            this.startedNanos = startedNanos;
        }
    }

    /**
     * Records that the connection of a request was lost before its first event.
     *
     * @param upstream the engine
     * @param pool the connections to the engine
     * @param parts the parts of the prompt
     */
    void connectionLost(Upstream upstream, UpstreamPool pool, List<PromptPart> parts) {
        long now = timers.nanoTime();
        watches.values().removeIf(watch -> now - watch.startedNanos >= WATCH_TIME.toNanos());
        if (parts.isEmpty() || (!watches.containsKey(upstream.id()) && watches.size() >= MAXIMUM_WATCHED)) {
            return;
        }
        Watch watch = watches.get(upstream.id());
        if (watch == null || !watch.upstream.isSameIncarnation(upstream)) {
            watch = new Watch(upstream, now);
            watches.put(upstream.id(), watch);
            probe(watch, pool);
        }
        watch.parts.addAll(parts);
        if (watch.crashed) {
            record(watch);
        }
    }

    private void probe(Watch watch, UpstreamPool pool) {
        pool.open(new HttpConnection.ConnectListener() {
            @Override
            public void onConnected(HttpConnection connection) {
                pool.release(connection);
                watches.remove(watch.upstream.id(), watch);
            }

            @Override
            public void onConnectFailed(String detail) {
                watch.crashed = true;
                record(watch);
            }
        });
    }

    private void record(Watch watch) {
        long now = timers.nanoTime();
        Duration age = Duration.ofNanos(now - watch.startedNanos);
        log.event(Category.BELIEF, "engine_crashed")
                .with("upstream", watch.upstream.id())
                .with("parts", PromptPart.join(watch.parts))
                .write();
        ledger.add(new AgedCrash(new Crash(watch.upstream.incarnationKey(), watch.parts, Set.of()), age), now);
    }
}
