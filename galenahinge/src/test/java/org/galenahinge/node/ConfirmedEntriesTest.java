package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.galenahinge.concurrent.ManualTimers;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfirmedEntriesTest {
    private final ManualTimers timers = new ManualTimers();
    private final ConfirmedEntries confirmed = new ConfirmedEntries(timers);

    @BeforeEach
    void hear() {
        pass(Duration.ofMillis(100));
        confirmed.heard("a");
        pass(Duration.ofSeconds(60));
    }

    @Test
    void keepsWhatItHeardWhileItIsInTouch() {
        assertThat(confirmed.isConfirmed("a")).isTrue();
        assertThat(confirmed.isConfirmed("b")).isFalse();
        assertThat(confirmed.isSettled()).isTrue();
    }

    /** Guards against answers from state from before a suspension, also one that the monotonic clock did not count. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void trustsNothingFromBeforeASuspension(boolean isCounted) {
        long askedNanos = timers.nanoTime();
        if (isCounted) {
            timers.standStill(Duration.ofSeconds(8));
        } else {
            timers.stepTimeOfDay(Duration.ofSeconds(8));
        }
        assertThat(confirmed.observe()).isTrue();
        confirmed.heard("a");
        confirmed.listed(List.of("a"), askedNanos);
        assertThat(confirmed.isConfirmed("a")).isFalse();
        assertThat(confirmed.isSettled()).isFalse();
        pass(Duration.ofSeconds(1));
        confirmed.heard("a");
        assertThat(confirmed.isConfirmed("a")).isTrue();
    }

    /** Guards against entries that ended on the other side of a partition and are named until a ping of them fails. */
    @Test
    void namesOnlyWhatItHeardLatelyWhileItIsOutOfTouch() {
        confirmed.heard("b");
        confirmed.outOfTouch();
        assertThat(confirmed.isConfirmed("a")).isFalse();
        assertThat(confirmed.isConfirmed("b")).isTrue();
        assertThat(confirmed.isSettled()).isFalse();
    }

    /** Guards against an ended entry in a list that was made before the news of its end had reached all entries. */
    @Test
    void reliesOnListsForGoodOnlyAfterEarlierNewsHasPassed() {
        confirmed.begin();
        confirmed.listed(List.of("b"), timers.nanoTime());
        assertThat(confirmed.isConfirmed("b")).isTrue();
        pass(Duration.ofSeconds(3));
        assertThat(confirmed.isConfirmed("b")).isFalse();
        pass(Duration.ofSeconds(3));
        confirmed.listed(List.of("b"), timers.nanoTime());
        pass(Duration.ofSeconds(60));
        assertThat(confirmed.isConfirmed("b")).isTrue();
    }

    private void pass(Duration duration) {
        for (long millis = 0; millis < duration.toMillis(); millis += 100) {
            timers.advance(Duration.ofMillis(100));
            confirmed.observe();
        }
    }
}
