package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.galenahinge.concurrent.ManualTimers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BufferBudgetTest {
    private static final long HEAP_BYTES = 4_000_000;
    private static final long BUDGET_BYTES = 1_000_000;
    private static final Duration REVIEW = Duration.ofMillis(200);

    private final ManualTimers timers = new ManualTimers();
    private final BufferBudget budget = BufferBudget.ofHeap(HEAP_BYTES, timers);
    private final List<Peer> closed = new ArrayList<>();

    /** A connection whose peer reads only when a test says so. */
    private final class Peer implements BufferBudget.Holder {
        private long unread;
        private int resumed;

        Peer() {
            budget.add(this);
        }

        void write(long bytes) {
            unread += bytes;
            budget.recordWritten(bytes);
        }

        @Override
        public long unreadBytes() {
            return unread;
        }

        @Override
        public void closeForBudget() {
            unread = 0;
            closed.add(this);
            budget.remove(this);
        }

        @Override
        public void resume() {
            resumed++;
        }
    }

    /** Guards against callers that lose their connection although the memory suffices. */
    @Test
    void leavesConnectionsAloneWithinTheBudget() {
        Peer peer = new Peer();
        peer.write(BUDGET_BYTES / 2);
        timers.advance(REVIEW);
        assertThat(closed).isEmpty();
        assertThat(budget.isUnderPressure()).isFalse();
    }

    /** Guards against connections that are closed before they were held back. */
    @Test
    void holdsBackBeforeItCloses() {
        Peer peer = new Peer();
        peer.write(BUDGET_BYTES * 6 / 10);
        timers.advance(REVIEW);
        assertThat(closed).isEmpty();
        assertThat(budget.isUnderPressure()).isTrue();
    }

    /** Guards against callers that are held back for ever after others have read. */
    @Test
    void resumesWhenPeersHaveRead() {
        Peer peer = new Peer();
        peer.write(BUDGET_BYTES * 6 / 10);
        timers.advance(REVIEW);
        peer.unread = 0;
        int before = peer.resumed;
        timers.advance(REVIEW);
        assertThat(budget.isUnderPressure()).isFalse();
        assertThat(peer.resumed).isGreaterThan(before);
    }

    /** Guards against a caller that reads well and loses its connection instead of those that do not read. */
    @Test
    void closesThoseWithTheMostUnreadBytes() {
        List<Peer> small = IntStream.range(0, 50).mapToObj(number -> new Peer()).toList();
        Peer large = new Peer();
        Peer larger = new Peer();
        small.forEach(peer -> peer.write(1_000));
        large.write(BUDGET_BYTES * 5 / 10);
        larger.write(BUDGET_BYTES * 6 / 10);
        timers.advance(REVIEW);
        assertThat(closed).containsExactly(larger);
        assertThat(budget.unreadBytes()).isLessThanOrEqualTo(BUDGET_BYTES);
    }

    /** Guards against many connections of which none is large, but which fill the memory together. */
    @ParameterizedTest
    @ValueSource(ints = {2, 10, 300, 5_000})
    void staysWithinTheBudgetWhateverIsWritten(int peers) {
        Random random = new Random(peers);
        List<Peer> open = new ArrayList<>();
        for (int write = 0; write < 20_000; write++) {
            open.removeAll(closed);
            closed.clear();
            if (open.size() < peers) {
                open.add(new Peer());
            }
            open.get(random.nextInt(open.size())).write(1 + random.nextInt(2_000));
            timers.advance(Duration.ofMillis(1));
            assertThat(budget.unreadBytes()).isLessThanOrEqualTo(BUDGET_BYTES);
        }
    }

    /** Guards against requests that an upstream does not read beside responses that callers do not read. */
    @Test
    void countsAllConnectionsTogether() {
        for (int number = 0; number < 30; number++) {
            new Peer().write(BUDGET_BYTES / 20);
        }
        timers.advance(REVIEW);
        assertThat(budget.unreadBytes()).isLessThanOrEqualTo(BUDGET_BYTES);
        assertThat(closed).isNotEmpty();
    }
}
