package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry is stopped while it holds orders for a server that has named a time after which it wants requests again. */
public final class WaitingOrdersAtStop {
    private static final int ORDERS = 10;
    private static final int BUDGET_MILLIS = 6_000;
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final int WORK_MILLIS = 86;
    private static final String RETRY_AFTER = "5.6";

    private WaitingOrdersAtStop() {}

    public static void main(String[] arguments) {
        CaseRun.main(arguments, WaitingOrdersAtStop::run);
    }

    private static boolean run(CaseRecord record, boolean trouble) throws Exception {
        AtomicBoolean full = new AtomicBoolean(true);
        try (Deployment deployment = new Deployment(record)) {
            deployment.publishConfig(
                    1, 100_000, Deployment.route("/order/", "non_idempotent", "orders", TIMEOUT_MILLIS, 388));
            deployment.startServer("server-1", "orders", (request, answer) -> work(full, answer));
            Deployment.Entry entry = deployment.startEntry("edge-bagmati-a-1");
            entry.awaitReady();
            Pause.millis(1_000);
            if (trouble) {
                entry.terminate();
            }
            Pause.millis(900);
            AtomicInteger lost = new AtomicInteger();
            List<Thread> consumers = new ArrayList<>();
            consumers.add(Threads.start("first", () -> order(entry, "order-first", record, lost)));
            Pause.millis(1_000);
            for (int number = 0; number < ORDERS; number++) {
                String id = "order-" + number;
                consumers.add(Threads.start(id, () -> order(entry, id, record, lost)));
                Pause.millis(30);
            }
            Threads.join(consumers, 20_000);
            deployment.recordLog(entry, 6);
            record.line(lost + " orders were read and never answered");
            return lost.get() == 0;
        }
    }

    private static void work(AtomicBoolean full, ServerStandIn.Answer answer) throws IOException {
        if (full.compareAndSet(true, false)) {
            answer.refuse(RETRY_AFTER);
            return;
        }
        Pause.millis(WORK_MILLIS);
        answer.whole(200, "ordered");
    }

    private static void order(Deployment.Entry entry, String id, CaseRecord record, AtomicInteger lost) {
        try (ConsumerChannel channel = new ConsumerChannel(entry.front())) {
            channel.send("/order/place", id, BUDGET_MILLIS, new byte[600]);
            record.line("consumer sent " + id);
            Message answer = channel.readAnswer();
            record.line("consumer: answer to " + id + ": " + (answer == null ? "the channel ended" : answer.startLine()));
            if (answer == null) {
                lost.incrementAndGet();
            }
        } catch (IOException e) {
            record.line("consumer: " + id + ": " + e.getMessage());
            lost.incrementAndGet();
        }
    }
}
