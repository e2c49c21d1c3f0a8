package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StopScheduleTest {
    private static final long NOW_NANOS = -5_000_000_000L;

    /** Guards against requests that are ended too early, and against a process that is killed before it exits. */
    @ParameterizedTest
    @ValueSource(longs = {500, 1_000, 2_000, 3_000, 4_000, 6_000, 8_000, 10_000, 30_000})
    void endsRequestsInTheLastSixth(long stopMillis) {
        Duration stopTimeout = Duration.ofMillis(stopMillis);
        StopSchedule schedule = StopSchedule.beginningAt(NOW_NANOS, stopTimeout);
        assertThat(schedule.endNanos() - NOW_NANOS)
                .isGreaterThan(stopTimeout.toNanos() * 5 / 6)
                .isLessThanOrEqualTo(stopTimeout.toNanos() - Math.min(1_200_000_000L, stopTimeout.toNanos() / 10));
        assertThat(schedule.exitNanos()).isGreaterThan(schedule.endNanos());
        assertThat(stopTimeout.toNanos() - (schedule.exitNanos() - NOW_NANOS))
                .as("time to exit")
                .isGreaterThanOrEqualTo(Math.min(400_000_000L, stopTimeout.toNanos() / 20));
    }

    /** Guards against requests that are rejected although they would end in time. */
    @ParameterizedTest
    @ValueSource(longs = {500, 4_000, 8_000, 30_000})
    void takesRequestsThatEndInTime(long stopMillis) {
        StopSchedule schedule = StopSchedule.beginningAt(NOW_NANOS, Duration.ofMillis(stopMillis));
        long late = schedule.lastArrivalNanos() + 1;
        assertThat(schedule.mayBegin(schedule.lastArrivalNanos() - 1, schedule.endNanos() + 1))
                .isTrue();
        assertThat(schedule.mayBegin(late, schedule.endNanos())).isTrue();
        assertThat(schedule.mayBegin(late, schedule.endNanos() + 1)).isFalse();
    }
}
