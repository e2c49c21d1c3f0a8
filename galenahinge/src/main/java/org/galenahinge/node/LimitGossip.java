package org.galenahinge.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;
import org.galenahinge.limit.NamedLimits;
import org.galenahinge.limit.NamedLimits.AgedLimit;
import org.galenahinge.limit.TurnStarts.AgedStart;
import org.galenahinge.wire.generated.GossipRecord;
import org.galenahinge.wire.generated.LimitRecord;

/**
 * Exchanges the limits that upstreams name, and when the turns at cold upstreams began, among the entries, so that all of them
 * share the same ones. Not thread-safe.
 */
final class LimitGossip implements GossipSource {
    /**
     * A record with this revision and without a limit tells when the turns at a cold upstream began; the revisions of named
     * limits begin at 1. Entries that do not know such records take them for a limit that has ended.
     */
    private static final long COLD_START_REVISION = 0;

    private final NamedLimits limits;

    LimitGossip(NamedLimits limits) {
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    @Override
    public List<GossipRecord> changedWithin(Duration since, long nowNanos) {
        return encode(limits.changedWithin(since, nowNanos), limits.coldStartsChangedWithin(since, nowNanos));
    }

    @Override
    public List<GossipRecord> all(long nowNanos) {
        return encode(limits.all(nowNanos), limits.allColdStarts(nowNanos));
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
        if (encoded.getRevision() == COLD_START_REVISION && !encoded.getNamed()) {
            limits.addColdStart(
                    new AgedStart(
                            encoded.getUpstream(),
                            Duration.ofMillis(encoded.getAgeMillis()),
                            Duration.ofMillis(encoded.getSinceNamedMillis())),
                    nowNanos);
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

    private static List<GossipRecord> encode(List<AgedLimit> aged, List<AgedStart> starts) {
        List<GossipRecord> records = new ArrayList<>(aged.size() + starts.size());
        aged.forEach(limit -> records.add(encode(limit)));
        starts.forEach(start -> records.add(encode(start)));
        return records;
    }

    private static GossipRecord encode(AgedStart start) {
        LimitRecord record = LimitRecord.newBuilder()
                .setUpstream(start.upstream())
                .setRevision(COLD_START_REVISION)
                .setNamed(false)
                .setAgeMillis(start.age().toMillis())
                .setSinceNamedMillis(start.sinceUsed().toMillis())
                .build();
        return GossipRecord.newBuilder().setLimit(record).build();
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
