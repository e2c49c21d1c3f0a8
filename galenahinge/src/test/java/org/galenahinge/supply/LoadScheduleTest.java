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

    /** Guards against an engine that loads last and has the version in use only after the rollout time. */
    @ParameterizedTest
    @CsvSource({"0, 3100", "1000, 3100", "1100, 3100", "2000, 2200", "2400, 1800", "4100, 100", "6000, 0"})
    void anEngineThatLoadsLastHasTheVersionInUseByTheRolloutTime(long loadMillis, long expectedMillis) {
        Duration age = Duration.ofMillis(3_500);
        LoadSchedule schedule = new LoadSchedule(List.of(NamedVersion.aged(2, age)), 1);
        Duration reserve = LoadSchedule.reserveFor(Duration.ofMillis(loadMillis));
        assertThat(schedule.untilLoad(1, Duration.ZERO, WITHIN, reserve)).hasMillis(expectedMillis);
    }

    /** The loads are spread evenly over the time that a longer load leaves. */
    @ParameterizedTest
    @CsvSource({"0, 0", "0.25, 550", "0.5, 1100", "0.75, 1650", "1, 2200"})
    void spreadsLongLoadsEvenly(double position, long expectedMillis) {
        LoadSchedule schedule = new LoadSchedule(List.of(NamedVersion.aged(2, Duration.ofMillis(3_500))), position);
        Duration reserve = LoadSchedule.reserveFor(Duration.ofSeconds(2));
        assertThat(schedule.untilLoad(1, Duration.ZERO, WITHIN, reserve)).hasMillis(expectedMillis);
    }
}
