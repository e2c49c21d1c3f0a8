package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.galenahinge.catalog.ColdStartBounds;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.limit.NamedLimits;
import org.galenahinge.limit.NamedLimits.ColdPeriod;
import org.galenahinge.limit.NamedLimits.Position;
import org.galenahinge.limit.TurnRate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Entries that read that an upstream is cold at different times. */
class ColdStartGossipTest {
    private static final long UPSTREAM = 1;
    private static final Duration SETTLED = Duration.ofSeconds(4);

    private final ManualTimers timers = new ManualTimers();
    private final Random random = new Random(1);
    private final Map<GossipFleet.Member, NamedLimits> limits = new HashMap<>();

    /** Guards against entries that count turns from their own reading, also one that starts, or was cut off, later. */
    @ParameterizedTest
    @ValueSource(ints = {2, 7, 41, 150})
    void agreesOnTheStartOfTheTurns(int entryCount) {
        GossipFleet fleet = new GossipFleet(entryCount, timers, random);
        for (GossipFleet.Member member : fleet.members()) {
            start(member);
            timers.schedule(Duration.ofMillis(random.nextInt(1_000)), () -> read(member));
        }
        GossipFleet.Member last = fleet.members().get(entryCount - 1);
        last.cutFor(SETTLED);
        timers.advance(SETTLED.plus(SETTLED));
        assertThat(ageDifferenceMillis()).isLessThanOrEqualTo(50);

        start(last);
        read(last);
        timers.advance(SETTLED);
        assertThat(ageDifferenceMillis()).isLessThanOrEqualTo(50);
    }

    private void start(GossipFleet.Member member) {
        NamedLimits created = NamedLimits.create(() -> new Position(0, 1));
        limits.put(member, created);
        member.start(new LimitGossip(created));
    }

    private void read(GossipFleet.Member member) {
        long now = timers.nanoTime();
        long endNanos = now + Duration.ofSeconds(60).toNanos();
        limits.get(member)
                .setCold(UPSTREAM, new ColdPeriod(TurnRate.within(ColdStartBounds.DEFAULT, 14), now, endNanos), now);
    }

    private long ageDifferenceMillis() {
        List<Long> ages = new ArrayList<>();
        limits.values()
                .forEach(known -> known.allColdStarts(timers.nanoTime())
                        .forEach(start -> ages.add(start.age().toMillis())));
        assertThat(ages).hasSameSizeAs(limits.values());
        return ages.stream().mapToLong(age -> age).max().orElseThrow()
                - ages.stream().mapToLong(age -> age).min().orElseThrow();
    }
}
