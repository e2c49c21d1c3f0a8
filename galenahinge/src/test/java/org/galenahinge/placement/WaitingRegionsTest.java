package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The queue of waiting requests, of which some may use only a part of the free slots. */
class WaitingRegionsTest {
    private static final long NEVER = Long.MAX_VALUE / 2;

    /** Guards against requests for a full region that keep the free slots of other regions from those behind them. */
    @Test
    void passesOverItemsThatMayNotUseWhatIsFree() {
        AdmissionQueue<String> queue = new AdmissionQueue<>(256);
        for (int index = 0; index < 100; index++) {
            queue.offer(new String("restricted"), 0, index, NEVER, NEVER);
        }
        queue.offer("free", 1, 0, NEVER, NEVER);
        List<String> dispatched = new ArrayList<>();
        queue.dispatch(1, item -> !item.equals("restricted"), dispatched::add);
        assertThat(dispatched).containsExactly("free");
        assertThat(queue.size()).isEqualTo(100);
    }

    /** Guards against requests that still wait after the last upstream of their regions has left. */
    @Test
    void removesTheItemsThatMeetACondition() {
        AdmissionQueue<String> queue = new AdmissionQueue<>(256);
        queue.offer("first", 0, 0, NEVER, 2);
        queue.offer("second", 0, 0, NEVER, 1);
        queue.offer("other", 0, 0, NEVER, 3);
        assertThat(queue.removeIf(item -> !item.equals("other"))).containsExactly("second", "first");
        assertThat(queue.size()).isEqualTo(1);
    }
}
