package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlacementRateTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Duration MAXIMUM_WAIT = Duration.ofMillis(400);

    private long nowNanos = 7 * SECOND_NANOS;
    private final PlacementRate rate = new PlacementRate(nowNanos);

    /** Overload: callers learn at once that their request has no chance, instead of after its time in the queue. */
    @ParameterizedTest
    @CsvSource({"12, 3, true", "12, 13, true", "12, 15, false", "12, 250, false", "100, 105, true", "100, 130, false"})
    void refusesWhatCannotBePlacedInTime(int placedPerSecond, int ahead, boolean admitted) {
        place(placedPerSecond, Duration.ofSeconds(3));
        assertThat(rate.canPlaceInTime(ahead, MAXIMUM_WAIT, nowNanos)).isEqualTo(admitted);
    }

    /** A start: nothing has been placed yet, which says nothing about the free slots. */
    @Test
    void admitsTheFirstRequests() {
        assertThat(rate.canPlaceInTime(0, MAXIMUM_WAIT, nowNanos)).isTrue();
        assertThat(rate.canPlaceInTime(3, MAXIMUM_WAIT, nowNanos)).isTrue();
        assertThat(rate.canPlaceInTime(4, MAXIMUM_WAIT, nowNanos)).isFalse();
    }

    /** All engines freeze: after a second nothing is known to leave the queue any more. */
    @Test
    void forgetsPlacementsAfterASecond() {
        place(100, Duration.ofSeconds(2));
        assertThat(rate.canPlaceInTime(20, MAXIMUM_WAIT, nowNanos)).isTrue();
        nowNanos += SECOND_NANOS + SECOND_NANOS / 10;
        assertThat(rate.canPlaceInTime(20, MAXIMUM_WAIT, nowNanos)).isFalse();
    }

    private void place(int perSecond, Duration time) {
        long count = perSecond * time.toSeconds();
        for (long number = 0; number < count; number++) {
            nowNanos += SECOND_NANOS / perSecond;
            rate.recordPlaced(nowNanos);
        }
    }
}
