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
import org.galenahinge.placement.LoadReport;
import org.galenahinge.placement.PlacementCandidate;
import org.galenahinge.placement.UpstreamLoad;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.UpstreamPool;
import org.galenahinge.wire.WireAddress;

/** The known upstreams with their loads and connection pools. Used by one thread only. */
final class UpstreamTable {
    private final EventLoop loop;
    private final Timers timers;
    private final Counter connectionsOpened;
    private final Map<String, UpstreamState> byId = new HashMap<>();
    private final Map<WireAddress, List<UpstreamState>> byAddress = new HashMap<>();
    private final Map<String, List<PlacementCandidate>> byService = new HashMap<>();
    private final DepartedPauses departedPauses = new DepartedPauses();

    private record UpstreamState(PlacementCandidate candidate, UpstreamPool pool) {
        Upstream upstream() {
            return candidate.upstream();
        }

        UpstreamLoad load() {
            return candidate.load();
        }
    }

    UpstreamTable(EventLoop loop, Timers timers, Counter connectionsOpened) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.connectionsOpened = Objects.requireNonNull(connectionsOpened, "connectionsOpened");
    }

    /**
     * Replaces the set of upstreams. An upstream of the same incarnation keeps its load and connections; the
     * connections to all others are closed.
     */
    void refresh(Collection<Upstream> upstreams) {
        Set<String> present = new HashSet<>();
        byAddress.clear();
        byService.clear();
        for (Upstream upstream : upstreams) {
            present.add(upstream.id());
            UpstreamState state = stateOf(upstream);
            byId.put(upstream.id(), state);
            byAddress
                    .computeIfAbsent(upstream.address(), address -> new ArrayList<>())
                    .add(state);
            byService
                    .computeIfAbsent(upstream.service(), service -> new ArrayList<>())
                    .add(state.candidate());
        }
        byService.replaceAll((service, candidates) -> List.copyOf(candidates));
        byId.entrySet().removeIf(known -> {
            boolean gone = !present.contains(known.getKey());
            if (gone) {
                departedPauses.keep(known.getValue().candidate(), timers.nanoTime());
                known.getValue().pool().close();
            }
            return gone;
        });
    }

    List<PlacementCandidate> candidates(String service) {
        return byService.getOrDefault(service, List.of());
    }

    Optional<PlacementCandidate> candidate(String id) {
        return Optional.ofNullable(byId.get(id)).map(UpstreamState::candidate);
    }

    Optional<UpstreamPool> pool(String id) {
        return Optional.ofNullable(byId.get(id)).map(UpstreamState::pool);
    }

    /**
     * Records the load report of a slot process for the upstream at an address. The store may still hold the record of
     * an earlier incarnation at that address, whose server no longer runs.
     *
     * @param address where the upstream listens
     * @param incarnation when the reported incarnation started, in milliseconds since the epoch; 0 if unknown
     * @param report the report
     * @return the upstreams that the report describes
     */
    List<PlacementCandidate> recordReport(WireAddress address, long incarnation, LoadReport report) {
        long now = timers.nanoTime();
        List<PlacementCandidate> reported = new ArrayList<>(1);
        for (UpstreamState state : byAddress.getOrDefault(address, List.of())) {
            long known = state.upstream().bornMillis();
            if (known == 0 || incarnation == 0 || known == incarnation) {
                state.load().recordReport(report, now);
                reported.add(state.candidate());
            } else {
                state.load().recordOtherIncarnation(now);
            }
        }
        return reported;
    }

    int size() {
        return byId.size();
    }

    private UpstreamState stateOf(Upstream upstream) {
        UpstreamState known = byId.get(upstream.id());
        if (known != null && known.upstream().isSameIncarnation(upstream)) {
            return new UpstreamState(new PlacementCandidate(upstream, known.load()), known.pool());
        }
        if (known != null) {
            known.pool().close();
        }
        return new UpstreamState(
                new PlacementCandidate(upstream, new UpstreamLoad(timers.nanoTime(), departedPauses.pauseOf(upstream))),
                UpstreamPool.create(loop, upstream, connectionsOpened));
    }
}
