package org.galenahinge.concurrent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MomentTest {
    private static final Duration LIMIT = Duration.ofSeconds(1);

    @ParameterizedTest(name = "{0} ms by the monotonic clock, {1} ms by the time of day")
    @CsvSource({
        "0, 0, true",
        "1000, 1000, true",
        "1001, 1000, false",
        "1000, 1001, false",
        "100, 3900, false",
        "3900, 100, false",
        "100, -1, false"
    })
    void isWithinALimitOnlyIfBothClocksSaySo(long monotonicMillis, long timeOfDayMillis, boolean within) {
        Moment earlier = new Moment(Long.MAX_VALUE - 1, Instant.EPOCH);
        Moment later = new Moment(
                earlier.nanos() + Duration.ofMillis(monotonicMillis).toNanos(), Instant.ofEpochMilli(timeOfDayMillis));
        assertThat(later.isWithin(LIMIT, earlier)).isEqualTo(within);
    }

    @ParameterizedTest(name = "{0} ms by the monotonic clock, {1} ms by the time of day")
    @CsvSource({"1000, 1000, true", "1000, 1250, true", "1000, 1251, false", "1000, 749, false", "0, 4000, false"})
    void clocksAgreeWithinATolerance(long monotonicMillis, long timeOfDayMillis, boolean agree) {
        Moment earlier = new Moment(Long.MAX_VALUE - 1, Instant.EPOCH);
        Moment later = new Moment(
                earlier.nanos() + Duration.ofMillis(monotonicMillis).toNanos(), Instant.ofEpochMilli(timeOfDayMillis));
        assertThat(later.clocksAgreeSince(earlier)).isEqualTo(agree);
        assertThat(later.uncountedSince(earlier)).isEqualTo(Duration.ofMillis(timeOfDayMillis - monotonicMillis));
    }
}
