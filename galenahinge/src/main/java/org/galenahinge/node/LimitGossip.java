package org.galenahinge.node;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;
import org.galenahinge.limit.NamedLimits;
import org.galenahinge.limit.NamedLimits.AgedLimit;
import org.galenahinge.wire.generated.GossipRecord;
import org.galenahinge.wire.generated.LimitRecord;

/** Exchanges the limits that upstreams name among the entries, so that all of them share the same ones. Not thread-safe. */
final class LimitGossip implements GossipSource {
    private final NamedLimits limits;

    LimitGossip(NamedLimits limits) {
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    @Override
    public List<GossipRecord> changedWithin(Duration since, long nowNanos) {
        return encode(limits.changedWithin(since, nowNanos));
    }

    @Override
    public List<GossipRecord> all(long nowNanos) {
        return encode(limits.all(nowNanos));
    }

    @Override
    public void receive(GossipRecord gossiped, long nowNanos) {
        LimitRecord encoded = gossiped.getLimit();
        boolean isValid = gossiped.hasLimit()
                && encoded.getPerSecond() >= 0
                && Double.isFinite(encoded.getPerSecond())
                && encoded.getAgeMillis() >= 0
                && encoded.getSinceNamedMillis() >= 0;
        if (!isValid) {
            return;
        }
        AgedLimit limit = new AgedLimit(
                encoded.getUpstream(),
                encoded.getRevision(),
                encoded.getNamed() ? OptionalDouble.of(encoded.getPerSecond()) : OptionalDouble.empty(),
                Duration.ofMillis(encoded.getAgeMillis()),
                Duration.ofMillis(encoded.getSinceNamedMillis()));
        limits.add(limit, nowNanos);
    }

    private static List<GossipRecord> encode(List<AgedLimit> aged) {
        return aged.stream().map(LimitGossip::encode).toList();
    }

    private static GossipRecord encode(AgedLimit aged) {
        LimitRecord limit = LimitRecord.newBuilder()
                .setUpstream(aged.upstream())
                .setRevision(aged.revision())
                .setNamed(aged.perSecond().isPresent())
                .setPerSecond(aged.perSecond().orElse(0))
                .setAgeMillis(aged.age().toMillis())
                .setSinceNamedMillis(aged.sinceNamed().toMillis())
                .build();
        return GossipRecord.newBuilder().setLimit(limit).build();
    }
}
