package org.galenahinge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.galenahinge.limit.NamedLimits.AgedLimit;
import org.galenahinge.limit.NamedLimits.Position;
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
        "1, 0, 0, ''"
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
