package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private final AdmissionQueue<String> queue = new AdmissionQueue<>(3);

    @Test
    void dispatchesByPriorityAndThenByArrival() {
        queue.offer("late", 1, 20, 90, 100);
        queue.offer("early", 1, 10, 90, 100);
        queue.offer("urgent", 0, 30, 90, 100);
        List<String> dispatched = new ArrayList<>();
        queue.dispatch(40, dispatched::add);
        assertThat(dispatched).containsExactly("urgent", "early", "late");
        assertThat(queue.size()).isZero();
    }

    /** After an outage, requests that are late already must not delay new ones until those are late too. */
    @Test
    void dispatchesItemsThatCanBeOnTimeFirst() {
        queue.offer("waited long", 1, 10, 50, 500);
        queue.offer("just came", 1, 80, 120, 600);
        List<String> dispatched = new ArrayList<>();
        queue.dispatch(100, dispatched::add);
        assertThat(dispatched).containsExactly("just came", "waited long");
    }

    @Test
    void rejectsItemsWhenFull() {
        queue.offer("one", 0, 1, 90, 100);
        queue.offer("two", 0, 1, 90, 100);
        queue.offer("three", 0, 1, 90, 100);
        assertThat(queue.offer("four", 0, 1, 90, 100)).isFalse();
    }

    @Test
    void removesOnlyExpiredItems() {
        queue.offer("short", 0, 1, 40, 50);
        queue.offer("long", 0, 1, 90, 100);
        assertThat(queue.removeExpired(60)).containsExactly("short");
        assertThat(queue.size()).isEqualTo(1);
    }
}
