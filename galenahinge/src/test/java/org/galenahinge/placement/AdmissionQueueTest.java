package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private final AdmissionQueue<String> queue = new AdmissionQueue<>(3);

    @Test
    void servesTheMostUrgentFirstAndThoseWhoCameFirst() {
        queue.offer("late", 1, 20, 100);
        queue.offer("early", 1, 10, 100);
        queue.offer("urgent", 0, 30, 100);
        List<String> served = new ArrayList<>();
        queue.serve(served::add);
        assertThat(served).containsExactly("urgent", "early", "late");
        assertThat(queue.size()).isZero();
    }

    @Test
    void refusesWhenItIsFull() {
        queue.offer("one", 0, 1, 100);
        queue.offer("two", 0, 1, 100);
        queue.offer("three", 0, 1, 100);
        assertThat(queue.offer("four", 0, 1, 100)).isFalse();
    }

    @Test
    void givesUpThoseWhoseTimeHasPassed() {
        queue.offer("short", 0, 1, 50);
        queue.offer("long", 0, 1, 100);
        assertThat(queue.expire(60)).containsExactly("short");
        assertThat(queue.size()).isEqualTo(1);
    }
}
