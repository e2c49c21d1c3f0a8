package org.galenahinge.node;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.galenahinge.facts.FleetFacts;
import org.galenahinge.upstream.LeavingUpstreams.AgedIncarnation;
import org.galenahinge.upstream.LeavingUpstreams.Source;
import org.galenahinge.wire.generated.GossipRecord;
import org.galenahinge.wire.generated.LeavingRecord;

/** Exchanges among the entries which upstreams have said in a response that they leave. Not thread-safe. */
final class LeavingGossip implements GossipSource {
    private final FleetFacts facts;

    LeavingGossip(FleetFacts facts) {
        this.facts = Objects.requireNonNull(facts, "facts");
    }

    @Override
    public List<GossipRecord> changedWithin(Duration since, long nowNanos) {
        return encode(facts.leavingUpstreams().learntWithin(since, nowNanos));
    }

    @Override
    public List<GossipRecord> all(long nowNanos) {
        return encode(facts.leavingUpstreams().all(nowNanos));
    }

    @Override
    public void receive(GossipRecord gossiped, long nowNanos) {
        LeavingRecord encoded = gossiped.getLeaving();
        if (!gossiped.hasLeaving() || encoded.getAgeMillis() < 0) {
            return;
        }
        AgedIncarnation told = new AgedIncarnation(encoded.getUpstream(), Duration.ofMillis(encoded.getAgeMillis()));
        facts.recordLeaving(told, Source.GOSSIP);
    }

    private static List<GossipRecord> encode(List<AgedIncarnation> aged) {
        return aged.stream().map(LeavingGossip::encode).toList();
    }

    private static GossipRecord encode(AgedIncarnation aged) {
        LeavingRecord leaving = LeavingRecord.newBuilder()
                .setUpstream(aged.incarnation())
                .setAgeMillis(aged.age().toMillis())
                .build();
        return GossipRecord.newBuilder().setLeaving(leaving).build();
    }
}
