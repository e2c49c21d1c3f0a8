package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.galenahinge.concurrent.ManualTimers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ProgressWatchTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final ManualTimers timers = new ManualTimers();
    private final List<String> abandoned = new ArrayList<>();
    private boolean mayRetryElsewhere = true;
    private boolean reportOverdue = true;
    private final ProgressWatch watch = new ProgressWatch(timers, () -> mayRetryElsewhere, this::abandon);

    private void abandon(String reason) {
        abandoned.add(reason);
        watch.end();
    }

    @ParameterizedTest
    @CsvSource({"1999, false", "2000, true"})
    void abandonsAnAttemptWithoutProgressForTheTimeout(long millis, boolean expected) {
        watch.abandonStalled(TIMEOUT);
        timers.advance(Duration.ofMillis(1_500));
        watch.recordProgress();
        timers.advance(Duration.ofMillis(millis));
        assertThat(abandoned).hasSize(expected ? 1 : 0);
    }

    @Test
    void abandonsAsSoonAsTheRequestMayBeRetriedElsewhere() {
        mayRetryElsewhere = false;
        watch.abandonStalled(TIMEOUT);
        timers.advance(Duration.ofMillis(2_500));
        mayRetryElsewhere = true;
        assertThat(abandoned).isEmpty();
        timers.advance(Duration.ofMillis(500));
        assertThat(abandoned).containsExactly("no data received for 3000 ms");
    }

    @ParameterizedTest
    @CsvSource({
        "true, false, 600, true",
        "true, false, 599, false",
        "false, false, 1500, false",
        "true, true, 1500, false"
    })
    void abandonsAnUnresponsiveUpstreamSooner(boolean overdue, boolean responded, long millis, boolean expected) {
        reportOverdue = overdue;
        watch.abandonStalled(TIMEOUT);
        watch.abandonUnresponsive(() -> reportOverdue);
        if (responded) {
            watch.recordProgress();
        }
        timers.advance(Duration.ofMillis(millis));
        assertThat(abandoned).hasSize(expected ? 1 : 0);
    }

    @Test
    void doesNothingAfterItsEnd() {
        watch.abandonStalled(TIMEOUT);
        watch.abandonUnresponsive(() -> reportOverdue);
        watch.end();
        timers.advance(TIMEOUT.multipliedBy(3));
        assertThat(abandoned).isEmpty();
    }
}
