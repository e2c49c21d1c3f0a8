package org.galenahinge.supply;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.galenahinge.upstream.NamedVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadScheduleTest {
    private static final Duration WITHIN = Duration.ofSeconds(8);
    private static final Duration RESERVE = Duration.ofMillis(1_200);

    /** All engines of a service are ready at the same time; their loads are spread over the remaining time. */
    @ParameterizedTest
    @CsvSource({"0, 0", "0.5, 1650", "1, 3300"})
    void spreadsTheLoadsOfOneVersion(double position, long expectedMillis) {
        LoadSchedule schedule = new LoadSchedule(List.of(NamedVersion.aged(2, Duration.ofMillis(3_400))), position);
        assertThat(schedule.untilLoad(1, Duration.ofMillis(100), WITHIN, RESERVE))
                .hasMillis(expectedMillis);
    }

    /** A second version, named two seconds later, gives engines that lack the first one no additional time. */
    @ParameterizedTest
    @CsvSource({"1, 1300", "2, 3300"})
    void countsFromTheFirstVersionThatAnEngineLacks(long loadedVersion, long expectedMillis) {
        LoadSchedule schedule = new LoadSchedule(
                List.of(NamedVersion.aged(2, Duration.ofMillis(5_500)), NamedVersion.aged(3, Duration.ofMillis(3_500))),
                1);
        assertThat(schedule.untilLoad(loadedVersion, Duration.ZERO, WITHIN, RESERVE))
                .hasMillis(expectedMillis);
    }

    @ParameterizedTest
    @CsvSource({"6900", "20000"})
    void loadsAtOnceAfterTheDeadline(long ageMillis) {
        LoadSchedule schedule = new LoadSchedule(List.of(NamedVersion.aged(2, Duration.ofMillis(ageMillis))), 1);
        assertThat(schedule.untilLoad(1, Duration.ZERO, WITHIN, RESERVE)).isZero();
    }
}
