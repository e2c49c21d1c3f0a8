package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

    /**
     * Deep queue: under heavy load a slot becomes free with each response, and each one concerns only the first few of
     * the requests that wait.
     */
    @ParameterizedTest
    @ValueSource(ints = {20, 256})
    void offersOneFreeSlotToTheFirstItemsOnly(int queued) {
        AdmissionQueue<Integer> deep = new AdmissionQueue<>(256);
        for (int item = 0; item < queued; item++) {
            deep.offer(item, 0, item, item % 2 == 0 ? 50 : 5_000, 10_000);
        }
        List<Integer> offered = new ArrayList<>();
        deep.dispatch(1_000, item -> {
            offered.add(item);
            return false;
        });
        assertThat(offered).hasSize(16).startsWith(1, 3, 5);
        assertThat(deep.size()).isEqualTo(queued);
    }

    @Test
    void removesAllItems() {
        queue.offer("later", 0, 10, 20, 200);
        queue.offer("sooner", 1, 10, 90, 100);
        queue.dispatch(30, item -> false);
        assertThat(queue.removeIf(item -> true)).containsExactly("sooner", "later");
        assertThat(queue.size()).isZero();
        assertThat(queue.removeExpired(300)).isEmpty();
        queue.dispatch(30, item -> {
            throw new AssertionError(item);
        });
    }

    /** A request whose attempt fails at once is queued again, for another upstream. */
    @Test
    void keepsAnItemThatIsQueuedAgainWhileItIsDispatched() {
        queue.offer("again", 0, 10, 90, 100);
        List<String> dispatched = new ArrayList<>();
        queue.dispatch(20, item -> {
            queue.remove(item);
            return dispatched.add(item) && queue.offer(item, 0, 10, 90, 100);
        });
        assertThat(dispatched).containsExactly("again");
        assertThat(queue.size()).isEqualTo(1);
        queue.remove("again");
        assertThat(queue.size()).isZero();
    }

    @Test
    void countsOnlyItemsThatCanBeOnTimeAheadOfOneThatCan() {
        queue.offer("late", 0, 1, 40, 100);
        queue.offer("early", 0, 2, 90, 100);
        assertThat(queue.sizeAhead(95, 50)).isEqualTo(1);
        assertThat(queue.sizeAhead(45, 50)).isEqualTo(2);
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
