package org.galenahinge.concurrent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WaitersTest {
    private final ManualTimers timers = new ManualTimers();
    private final Waiters<String> waiters = new Waiters<>(timers, 3);
    private final List<String> late = new ArrayList<>();
    private final List<String> released = new ArrayList<>();

    @Test
    void letsEachGoOnceInOrder() {
        List.of("a1", "b1", "a2").forEach(item -> waiters.add(item, Duration.ofSeconds(1), late::add));
        waiters.release(item -> item.startsWith("a"), released::add);
        waiters.release(item -> true, released::add);
        timers.advance(Duration.ofSeconds(2));
        assertThat(released).containsExactly("a1", "a2", "b1");
        assertThat(late).isEmpty();
    }

    @Test
    void givesUpAfterTheTimeOfEach() {
        waiters.add("slow", Duration.ofSeconds(2), late::add);
        waiters.add("fast", Duration.ofSeconds(1), late::add);
        timers.advance(Duration.ofMillis(1_500));
        assertThat(late).containsExactly("fast");
        timers.advance(Duration.ofSeconds(1));
        waiters.release(item -> true, released::add);
        assertThat(late).containsExactly("fast", "slow");
        assertThat(released).isEmpty();
    }

    /** Letting one go may let others go before it returns. */
    @Test
    void letsEachGoOnceWhenCalledWithin() {
        List.of("a", "b").forEach(item -> waiters.add(item, Duration.ofSeconds(1), late::add));
        waiters.release(item -> true, item -> {
            released.add(item);
            waiters.release(other -> true, released::add);
        });
        assertThat(released).containsExactly("a", "b");
    }

    @Test
    void holdsNoMoreThanItsBound() {
        List.of("a", "b", "c").forEach(item -> waiters.add(item, Duration.ofSeconds(1), late::add));
        assertThat(waiters.isFull()).isTrue();
        assertThatThrownBy(() -> waiters.add("d", Duration.ofSeconds(1), late::add))
                .isInstanceOf(IllegalStateException.class);
        timers.advance(Duration.ofSeconds(1));
        assertThat(waiters.isFull()).isFalse();
    }
}
