package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.galenahinge.concurrent.ManualTimers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PausedReadingTest {
    private final ManualTimers timers = new ManualTimers();
    private final PausedReading paused = new PausedReading(timers);

    /** Guards against a crash of an upstream that is put down to a pause long ago. */
    @ParameterizedTest
    @CsvSource({
        // milliseconds of the pause, milliseconds after it, whether it may explain that the upstream closed the
        // connection
        "500, 0, false",
        "1500, 0, true",
        "1500, 900, true",
        "1500, 1000, false",
        "1500, 60000, false"
    })
    void explainsOnlyACloseSoonAfterALongPause(long pauseMillis, long laterMillis, boolean expected) {
        paused.begin();
        timers.advance(Duration.ofMillis(pauseMillis));
        assertThat(paused.mayHaveCausedClose()).isEqualTo(pauseMillis >= 1_000);
        assertThat(paused.end()).isTrue();
        timers.advance(Duration.ofMillis(laterMillis));
        assertThat(paused.mayHaveCausedClose()).isEqualTo(expected);
    }
}
