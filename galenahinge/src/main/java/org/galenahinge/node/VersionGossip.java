package org.galenahinge.node;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.galenahinge.facts.FleetFacts;
import org.galenahinge.upstream.VersionAges.AgedVersion;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.generated.GossipRecord;
import org.galenahinge.wire.generated.VersionRecord;

/**
 * Tells the other entries how long ago versions of weights were named, so that all of them stop using an older version at the
 * same time, also those that heard late. Not thread-safe.
 */
final class VersionGossip implements GossipSource {
    /** For how many rollout times an age is spread: an entry may have stood still through one of them. */
    private static final int ROLLOUTS_TOLD = 2;

    private final FleetFacts facts;
    private final Duration rolloutTime;

    /** Creates a source that spreads the age of a version during its rollout, and for as long again. */
    VersionGossip(FleetFacts facts, Duration rolloutTime) {
        this.facts = Objects.requireNonNull(facts, "facts");
        this.rolloutTime = Objects.requireNonNull(rolloutTime, "rolloutTime");
    }

    /** Returns all versions named lately, whenever their age was learnt: an entry that stood still does not know that it did. */
    @Override
    public List<GossipRecord> changedWithin(Duration since, long nowNanos) {
        return encode(facts.versionAges().namedWithin(rolloutTime.multipliedBy(ROLLOUTS_TOLD), nowNanos));
    }

    @Override
    public List<GossipRecord> all(long nowNanos) {
        return encode(facts.versionAges().all(nowNanos));
    }

    @Override
    public void receive(GossipRecord gossiped, long nowNanos) {
        if (gossiped.hasVersion() && isValid(gossiped.getVersion())) {
            facts.versionAgeTold(decode(gossiped.getVersion()));
        }
    }

    static boolean isValid(VersionRecord encoded) {
        return !encoded.getModel().isEmpty() && encoded.getVersion() > 0 && encoded.getAgeMillis() >= 0;
    }

    static AgedVersion decode(VersionRecord encoded) {
        WeightsVersion weights = new WeightsVersion(encoded.getModel(), encoded.getVersion());
        return new AgedVersion(weights, Duration.ofMillis(encoded.getAgeMillis()));
    }

    static VersionRecord encode(AgedVersion version) {
        return VersionRecord.newBuilder()
                .setModel(version.weights().model())
                .setVersion(version.weights().version())
                .setAgeMillis(version.age().toMillis())
                .build();
    }

    private static List<GossipRecord> encode(List<AgedVersion> versions) {
        return versions.stream()
                .map(version ->
                        GossipRecord.newBuilder().setVersion(encode(version)).build())
                .toList();
    }
}
