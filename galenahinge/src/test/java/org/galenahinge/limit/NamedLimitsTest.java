package org.galenahinge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.galenahinge.limit.NamedLimits.AgedLimit;
import org.galenahinge.limit.NamedLimits.ColdPeriod;
import org.galenahinge.limit.NamedLimits.Position;
import org.galenahinge.limit.TurnStarts.AgedStart;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NamedLimitsTest {
    private static final long UPSTREAM = 1;
    private static final OptionalDouble NONE = OptionalDouble.empty();

    private long nowNanos = 1_000_000_000L;

    /** Turns are counted from the first naming, the position's part of an interval later for each node. */
    @ParameterizedTest
    @CsvSource({
        "1, 0, 1, 1000 2000 3000 4000",
        "1, 0, 2, 500 1000 1500 2000 2500 3000 3500 4000",
        "4, 0, 1, 4000",
        "4, 1, 1, 1000",
        "4, 3, 2, 1500 3500",
        "1, 0, 0, 2000 4000",
        "1, 0, 0.1, 2000 4000",
        "2, 1, 0, 2000"
    })
    void givesEachNodeItsTurns(int nodes, int index, double perSecond, String expected) {
        NamedLimits limits = limitsOf(index, nodes);
        limits.recordResponse(UPSTREAM, OptionalDouble.of(perSecond), nowNanos);
        assertThat(String.join(" ", turnsWithin(limits, Duration.ofSeconds(4)))).isEqualTo(expected);
    }

    /** Guards against turns that are saved up while a node has no requests. */
    @Test
    void lapsesTurnsThatAreNotUsed() {
        NamedLimits limits = limitsOf(0, 1);
        limits.recordResponse(UPSTREAM, OptionalDouble.of(2), nowNanos);
        nowNanos += Duration.ofSeconds(60).toNanos();
        int sent = 0;
        while (limits.allows(UPSTREAM, nowNanos)) {
            limits.recordSent(UPSTREAM, nowNanos);
            sent++;
        }
        assertThat(sent).isBetween(1, 3);
    }

    @Test
    void allowsEverythingAtUpstreamsWithoutALimit() {
        NamedLimits limits = limitsOf(0, 8);
        assertThat(limits.isEmpty()).isTrue();
        limits.recordResponse(UPSTREAM, NONE, nowNanos);
        assertThat(limits.isEmpty()).isTrue();
        limits.recordResponse(UPSTREAM, OptionalDouble.of(1), nowNanos);
        assertThat(limits.allows(UPSTREAM, nowNanos)).isFalse();
        assertThat(limits.allows(UPSTREAM + 1, nowNanos)).isTrue();
    }

    /** A response that was under way when the limit was named does not end it; a later one does. */
    @ParameterizedTest
    @CsvSource({"200, false", "1100, true"})
    void endsWithAResponseThatNamesNoLimit(long afterMillis, boolean ended) {
        NamedLimits limits = limitsOf(0, 8);
        limits.recordResponse(UPSTREAM, OptionalDouble.of(0), nowNanos);
        nowNanos += Duration.ofMillis(afterMillis).toNanos();
        limits.recordResponse(UPSTREAM, NONE, nowNanos);
        assertThat(limits.allows(UPSTREAM, nowNanos)).isEqualTo(ended);
    }

    /** Of what two nodes tell, the higher revision counts, and of equal ones the lower limit, in any order. */
    @ParameterizedTest
    @CsvSource({"1, 5, 2, 3, 3", "2, 5, 1, 3, 5", "1, 5, 1, 3, 3", "1, -1, 1, 3, 3", "2, -1, 1, 3, -1"})
    void mergesInAnyOrder(
            long firstRevision, double firstLimit, long secondRevision, double secondLimit, double expected) {
        AgedLimit first = told(firstRevision, firstLimit);
        AgedLimit second = told(secondRevision, secondLimit);
        for (List<AgedLimit> order : List.of(List.of(first, second), List.of(second, first, second))) {
            NamedLimits limits = limitsOf(0, 1);
            order.forEach(limit -> limits.add(limit, nowNanos));
            assertThat(limits.all(nowNanos))
                    .singleElement()
                    .satisfies(
                            merged -> assertThat(merged.perSecond().orElse(-1)).isEqualTo(expected));
        }
    }

    /** Guards against memory that grows with upstreams that are gone. */
    @Test
    void forgetsLimitsThatNobodyNames() {
        NamedLimits limits = limitsOf(0, 1);
        for (int upstream = 0; upstream < 10_000; upstream++) {
            limits.recordResponse(upstream, OptionalDouble.of(1), nowNanos);
        }
        assertThat(limits.size()).isLessThan(10_000);
        nowNanos += Duration.ofMinutes(6).toNanos();
        assertThat(limits.all(nowNanos)).isEmpty();
        assertThat(limits.isEmpty()).isTrue();
    }

    /** Of the limit that an upstream names and that of its cold time, the lower one counts, in any order. */
    @ParameterizedTest
    @CsvSource({"1, 4, 4", "4, 1, 4", "0, 4, 2", "4, 4, 16"})
    void keepsToTheLowerOfTwoLimits(double named, double cold, int expected) {
        for (boolean namedFirst : List.of(true, false)) {
            NamedLimits limits = limitsOf(0, 1);
            if (namedFirst) {
                limits.recordResponse(UPSTREAM, OptionalDouble.of(named), nowNanos);
            }
            limits.setCold(UPSTREAM, coldPeriod(cold, Duration.ofSeconds(60)), nowNanos);
            if (!namedFirst) {
                limits.recordResponse(UPSTREAM, OptionalDouble.of(named), nowNanos);
            }
            assertThat(turnsWithin(limits, Duration.ofSeconds(4)).size()).isBetween(expected, expected + 1);
        }
    }

    /** Guards against an upstream that is kept from requests after its cold time, or after its record says that it is warm. */
    @ParameterizedTest
    @CsvSource({"1999, false, false", "2000, false, true", "5, true, true"})
    void endsWithTheColdTime(long afterMillis, boolean saysWarm, boolean allowed) {
        NamedLimits limits = limitsOf(0, 1);
        limits.setCold(UPSTREAM, coldPeriod(0, Duration.ofSeconds(2)), nowNanos);
        nowNanos += Duration.ofMillis(afterMillis).toNanos();
        if (saysWarm) {
            limits.setWarm(UPSTREAM);
        }
        assertThat(limits.isCold(UPSTREAM, nowNanos)).isNotEqualTo(allowed);
        assertThat(limits.allows(UPSTREAM, nowNanos)).isEqualTo(allowed);
    }

    /** Guards against turns that are used twice when the record of a cold upstream is written again. */
    @Test
    void keepsUsedTurnsWhenTheColdTimeChanges() {
        NamedLimits limits = limitsOf(0, 1);
        limits.setCold(UPSTREAM, coldPeriod(1, Duration.ofSeconds(9)), nowNanos);
        limits.recordSent(UPSTREAM, nowNanos);
        limits.setCold(UPSTREAM, coldPeriod(1, Duration.ofSeconds(9)), nowNanos);
        assertThat(limits.allows(UPSTREAM, nowNanos)).isFalse();
    }

    /** Guards against requests to a cold upstream from an entry that does not know yet how many others there are. */
    @Test
    void sendsNothingToAColdUpstreamWithoutAPosition() {
        NamedLimits limits = NamedLimits.create(() -> new Position(0, 1), Optional::empty);
        limits.setCold(UPSTREAM, coldPeriod(14, Duration.ofSeconds(9)), nowNanos);
        assertThat(turnsWithin(limits, Duration.ofSeconds(4))).isEmpty();
        assertThat(limits.allows(UPSTREAM + 1, nowNanos)).isTrue();
    }

    /** All nodes take turns from the earliest start that any of them knows; one that nobody uses any more is dropped. */
    @Test
    void takesTurnsFromTheEarliestStart() {
        NamedLimits limits = limitsOf(0, 1);
        limits.addColdStart(new AgedStart(UPSTREAM, Duration.ofMillis(300), Duration.ZERO), nowNanos);
        limits.addColdStart(new AgedStart(UPSTREAM, Duration.ofMillis(200), Duration.ZERO), nowNanos);
        limits.addColdStart(new AgedStart(UPSTREAM + 1, Duration.ofHours(1), Duration.ofHours(1)), nowNanos);
        limits.setCold(UPSTREAM, coldPeriod(1, Duration.ofSeconds(9)), nowNanos);
        assertThat(limits.allColdStarts(nowNanos))
                .containsExactly(new AgedStart(UPSTREAM, Duration.ofMillis(300), Duration.ZERO));
        assertThat(turnsWithin(limits, Duration.ofSeconds(3))).containsExactly("700", "1700", "2700");
        nowNanos += Duration.ofMinutes(11).toNanos();
        limits.coldStartsChangedWithin(Duration.ZERO, nowNanos);
        assertThat(limits.allColdStarts(nowNanos)).isEmpty();
    }

    /** Guards against an upstream without a limit because the starts of too many others are held. */
    @Test
    void keepsToTheLimitOfEachOfManyColdUpstreams() {
        NamedLimits limits = limitsOf(0, 1);
        for (int upstream = 20_000; upstream >= UPSTREAM; upstream--) {
            limits.setCold(upstream, coldPeriod(2, Duration.ofSeconds(60)), nowNanos);
        }
        assertThat(limits.allColdStarts(nowNanos)).hasSizeLessThan(20_000);
        assertThat(turnsWithin(limits, Duration.ofSeconds(4)).size()).isBetween(7, 9);
    }

    private ColdPeriod coldPeriod(double perSecond, Duration time) {
        TurnRate rate = new TurnRate(perSecond, Duration.ofMillis(300));
        return new ColdPeriod(rate, nowNanos, nowNanos + time.toNanos());
    }

    private List<String> turnsWithin(NamedLimits limits, Duration time) {
        List<String> turns = new ArrayList<>();
        for (long millis = 1; millis <= time.toMillis(); millis++) {
            long now = nowNanos + Duration.ofMillis(millis).toNanos();
            if (limits.allows(UPSTREAM, now)) {
                limits.recordSent(UPSTREAM, now);
                turns.add(Long.toString(millis));
            }
        }
        return turns;
    }

    private static AgedLimit told(long revision, double perSecond) {
        OptionalDouble limit = perSecond < 0 ? NONE : OptionalDouble.of(perSecond);
        return new AgedLimit(UPSTREAM, revision, limit, Duration.ZERO, Duration.ZERO);
    }

    private static NamedLimits limitsOf(int index, int nodes) {
        return NamedLimits.create(() -> new Position(index, nodes));
    }
}
