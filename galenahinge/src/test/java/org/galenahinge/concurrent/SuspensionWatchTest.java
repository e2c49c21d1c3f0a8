package org.galenahinge.concurrent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SuspensionWatchTest {
    private static final Duration RETENTION = Duration.ofSeconds(1);

    private final ManualTimers timers = new ManualTimers();
    private final SuspensionWatch watch = SuspensionWatch.create(timers, RETENTION);

    /** Steps of the time of day, 100 ms apart, and what they add to the age of something that happened before. */
    @ParameterizedTest
    @CsvSource({"4000, 4000", "200, 0", "4000 2000, 6000", "4000 -4000, 0", "-4000, 0", "-4000 4000, 4000"})
    void addsTheTimeThatWasNotCounted(String stepsMillis, long addedMillis) {
        for (String step : List.of(stepsMillis.split(" ", -1))) {
            timers.advance(Duration.ofMillis(100));
            watch.observe();
            timers.stepTimeOfDay(Duration.ofMillis(Long.parseLong(step)));
            watch.observe();
        }
        Duration age = Duration.ofSeconds(2);
        assertThat(watch.longestAge(age)).isEqualTo(age.plusMillis(addedMillis));
    }

    @Test
    void addsNothingToWhatHappenedSince() {
        timers.stepTimeOfDay(Duration.ofSeconds(4));
        watch.observe();
        timers.advance(Duration.ofMillis(500));
        assertThat(watch.longestAge(Duration.ofMillis(499))).isEqualTo(Duration.ofMillis(499));
        assertThat(watch.longestAge(Duration.ofMillis(500))).isEqualTo(Duration.ofMillis(4_500));
    }

    @Test
    void addsNothingOnceOthersMustHaveToldBetter() {
        timers.stepTimeOfDay(Duration.ofSeconds(4));
        watch.observe();
        timers.advance(RETENTION);
        assertThat(watch.longestAge(Duration.ofSeconds(2))).isEqualTo(Duration.ofSeconds(2));
    }
}
