package org.galenahinge.node;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.quarantine.Crash;
import org.galenahinge.quarantine.CrashLedger;
import org.galenahinge.quarantine.CrashLedger.AgedCrash;
import org.galenahinge.quarantine.RequestTrait;
import org.galenahinge.quarantine.RequestTrait.Kind;
import org.galenahinge.wire.generated.CrashRecord;
import org.galenahinge.wire.generated.GossipRecord;

/** Exchanges the crashes of upstreams among the entries, so that all of them decide by the same ones. Not thread-safe. */
final class CrashGossip implements GossipSource {
    private final CrashLedger ledger;
    private final EventLog log;
    private List<Set<RequestTrait>> quarantined = List.of();

    CrashGossip(CrashLedger ledger, EventLog log) {
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.log = Objects.requireNonNull(log, "log");
    }

    @Override
    public List<GossipRecord> changedWithin(Duration since, long nowNanos) {
        if (ledger.isEmpty()) {
            return List.of();
        }
        logQuarantine(nowNanos);
        return ledger.changedWithin(since, nowNanos).stream()
                .map(CrashGossip::encode)
                .toList();
    }

    @Override
    public List<GossipRecord> all(long nowNanos) {
        return ledger.all(nowNanos).stream().map(CrashGossip::encode).toList();
    }

    @Override
    public void receive(GossipRecord gossiped, long nowNanos) {
        if (!gossiped.hasCrash() || gossiped.getCrash().getAgeMillis() < 0) {
            return;
        }
        CrashRecord encoded = gossiped.getCrash();
        Crash crash = new Crash(
                encoded.getUpstream(),
                traits(encoded.getSuspectsList(), encoded.getSuspectRequestsList()),
                traits(encoded.getClearedList(), encoded.getClearedRequestsList()));
        ledger.add(new AgedCrash(crash, Duration.ofMillis(encoded.getAgeMillis())), nowNanos);
    }

    private static GossipRecord encode(AgedCrash aged) {
        CrashRecord crash = CrashRecord.newBuilder()
                .setUpstream(aged.crash().upstream())
                .setAgeMillis(aged.age().toMillis())
                .addAllSuspects(ids(aged.crash().suspects(), Kind.PROMPT_PART))
                .addAllCleared(ids(aged.crash().cleared(), Kind.PROMPT_PART))
                .addAllSuspectRequests(ids(aged.crash().suspects(), Kind.WHOLE_REQUEST))
                .addAllClearedRequests(ids(aged.crash().cleared(), Kind.WHOLE_REQUEST))
                .build();
        return GossipRecord.newBuilder().setCrash(crash).build();
    }

    private static List<Long> ids(Set<RequestTrait> traits, Kind kind) {
        return traits.stream()
                .filter(trait -> trait.kind() == kind)
                .map(RequestTrait::id)
                .toList();
    }

    private static Set<RequestTrait> traits(Collection<Long> parts, Collection<Long> requests) {
        return Stream.concat(
                        parts.stream().map(RequestTrait::ofPart),
                        requests.stream().map(RequestTrait::ofRequest))
                .collect(Collectors.toSet());
    }

    private void logQuarantine(long nowNanos) {
        List<Set<RequestTrait>> current = ledger.quarantined(nowNanos);
        if (current.equals(quarantined)) {
            return;
        }
        quarantined = current;
        log.event(Category.BELIEF, "quarantine")
                .with("causes", current.size())
                .with(
                        "traits",
                        RequestTrait.join(current.stream().flatMap(Set::stream).toList()))
                .with("crashes", ledger.all(nowNanos).size())
                .write();
    }
}
