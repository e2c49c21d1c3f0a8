package org.galenahinge.concurrent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

class ControllerTest {
    private static final Duration TICK = Duration.ofMillis(5);

    @Test
    void handlesEventsInOrderOnOneThread() {
        List<Integer> handled = new CopyOnWriteArrayList<>();
        try (Controller<Integer> controller = Controller.start("test", 64, TICK, handled::add, () -> TICK)) {
            for (int event = 0; event < 20; event++) {
                assertThat(controller.offer(event)).isTrue();
            }
            Awaitility.await().until(() -> handled.size() == 20);
            assertThat(handled).isSorted();
        }
    }

    @Test
    void rejectsEventsWhenQueueIsFullAndNewWorkWhenHalfFull() {
        Controller<Integer> controller = Controller.create("test", 8, TICK, event -> {}, () -> TICK);
        int work = 0;
        while (controller.offerWork(work)) {
            work++;
        }
        int all = work;
        while (controller.offer(all)) {
            all++;
        }

        assertThat(work).isEqualTo(4);
        assertThat(all).isEqualTo(8);
    }

    @Test
    void continuesAfterHandlerThrows() throws InterruptedException {
        CountDownLatch second = new CountDownLatch(1);
        try (Controller<Runnable> controller = Controller.start("test", 8, TICK, Runnable::run, () -> TICK)) {
            controller.offer(() -> {
                throw new IllegalStateException("on purpose");
            });
            controller.offer(second::countDown);
            second.await();
            assertThat(second.getCount()).isZero();
        }
    }
}
