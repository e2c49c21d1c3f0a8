package org.galenahinge.concurrent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WaitListTest {
    private final ManualTimers timers = new ManualTimers();
    private final WaitList<String> waiting = new WaitList<>(timers, 3);
    private final List<String> timedOut = new ArrayList<>();
    private final List<String> removed = new ArrayList<>();

    @Test
    void removesReadyItemsOnceInOrder() {
        List.of("a1", "b1", "a2").forEach(item -> waiting.add(item, Duration.ofSeconds(1), timedOut::add));
        waiting.removeReady(item -> item.startsWith("a"), removed::add);
        waiting.removeReady(item -> true, removed::add);
        timers.advance(Duration.ofSeconds(2));
        assertThat(removed).containsExactly("a1", "a2", "b1");
        assertThat(timedOut).isEmpty();
    }

    @Test
    void removesItemsAfterTheirOwnTimeouts() {
        waiting.add("slow", Duration.ofSeconds(2), timedOut::add);
        waiting.add("fast", Duration.ofSeconds(1), timedOut::add);
        timers.advance(Duration.ofMillis(1_500));
        assertThat(timedOut).containsExactly("fast");
        timers.advance(Duration.ofSeconds(1));
        waiting.removeReady(item -> true, removed::add);
        assertThat(timedOut).containsExactly("fast", "slow");
        assertThat(removed).isEmpty();
    }

    /** The callback of a removed item may call {@code removeReady} again before it returns. */
    @Test
    void removesEachItemOnceWhenCalledRecursively() {
        List.of("a", "b").forEach(item -> waiting.add(item, Duration.ofSeconds(1), timedOut::add));
        waiting.removeReady(item -> true, item -> {
            removed.add(item);
            waiting.removeReady(other -> true, removed::add);
        });
        assertThat(removed).containsExactly("a", "b");
    }

    @Test
    void rejectsItemsBeyondItsCapacity() {
        List.of("a", "b", "c").forEach(item -> waiting.add(item, Duration.ofSeconds(1), timedOut::add));
        assertThat(waiting.isFull()).isTrue();
        assertThatThrownBy(() -> waiting.add("d", Duration.ofSeconds(1), timedOut::add))
                .isInstanceOf(IllegalStateException.class);
        timers.advance(Duration.ofSeconds(1));
        assertThat(waiting.isFull()).isFalse();
    }
}
