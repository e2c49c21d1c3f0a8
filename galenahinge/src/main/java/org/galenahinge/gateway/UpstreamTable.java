package org.galenahinge.gateway;

import com.codahale.metrics.Counter;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.placement.PlacementCandidate;
import org.galenahinge.placement.UpstreamLoad;
import org.galenahinge.placement.UpstreamLoad.LoadReport;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.UpstreamPool;
import org.galenahinge.wire.WireAddress;

/** The upstreams with their loads and connections. Belongs to one thread. */
final class UpstreamTable {
    private final EventLoop loop;
    private final Timers timers;
    private final Counter opened;
    private final Map<String, Entry> byId = new HashMap<>();
    private final Map<WireAddress, List<Entry>> byAddress = new HashMap<>();
    private final Map<String, List<PlacementCandidate>> byService = new HashMap<>();

    private record Entry(Upstream upstream, UpstreamLoad load, UpstreamPool pool) {}

    UpstreamTable(EventLoop loop, Timers timers, Counter opened) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.opened = Objects.requireNonNull(opened, "opened");
    }

    /** Takes in who is there now. What is known of a life that goes on is kept; connections to others are closed. */
    void refresh(Collection<Upstream> upstreams) {
        Set<String> present = new HashSet<>();
        byAddress.clear();
        byService.clear();
        for (Upstream upstream : upstreams) {
            present.add(upstream.id());
            Entry entry = next(upstream);
            byId.put(upstream.id(), entry);
            byAddress
                    .computeIfAbsent(upstream.address(), address -> new ArrayList<>())
                    .add(entry);
            byService
                    .computeIfAbsent(upstream.service(), service -> new ArrayList<>())
                    .add(new PlacementCandidate(upstream, entry.load()));
        }
        byId.entrySet().removeIf(known -> {
            boolean gone = !present.contains(known.getKey());
            if (gone) {
                known.getValue().pool().close();
            }
            return gone;
        });
    }

    List<PlacementCandidate> candidates(String service) {
        return byService.getOrDefault(service, List.of());
    }

    Optional<UpstreamPool> pool(String id) {
        return Optional.ofNullable(byId.get(id)).map(Entry::pool);
    }

    /**
     * Takes in what a slot process says of the upstream at an address. The store may still hold an entry of an earlier
     * life there: its server is gone.
     */
    void reported(WireAddress address, long bornMillis, LoadReport report) {
        long now = timers.nanoTime();
        for (Entry entry : byAddress.getOrDefault(address, List.of())) {
            long known = entry.upstream().bornMillis();
            if (known == 0 || bornMillis == 0 || known == bornMillis) {
                entry.load().recordReport(report, now);
            } else {
                entry.load().recordOtherIncarnation(now);
            }
        }
    }

    int size() {
        return byId.size();
    }

    private Entry next(Upstream upstream) {
        Entry known = byId.get(upstream.id());
        if (known != null && known.upstream().isSameIncarnation(upstream)) {
            return new Entry(upstream, known.load(), known.pool());
        }
        if (known != null) {
            known.pool().close();
        }
        return new Entry(upstream, new UpstreamLoad(timers.nanoTime()), UpstreamPool.create(loop, upstream, opened));
    }
}
