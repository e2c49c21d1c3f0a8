package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One server of the drafts is in trouble: after the head of a stream it sends line ends without end, until its caller
 * closes. Consumers place orders with another service meanwhile, through the same entry.
 */
public final class EndlessStreamBody {
    private static final int STREAMS = 1;
    private static final int ORDERS = 80;
    private static final int ORDER_PAUSE_MILLIS = 100;
    private static final int ORDER_TIMEOUT_MILLIS = 1_600;
    private static final int ORDER_BUDGET_MILLIS = 3_022;
    private static final int SLACK_MILLIS = 500;
    private static final int MINIMUM_UNANSWERED = 8;
    private static final int CHUNK_BYTES = 4 << 10;
    private static final int CHUNK_PAUSE_MILLIS = 10;
    private static final int DRAFT_BUDGET_MILLIS = 6_000;
    private static final int ORDER_WORK_MILLIS = 86;

    private EndlessStreamBody() {}

    public static void main(String[] arguments) {
        CaseRun.main(arguments, EndlessStreamBody::run);
    }

    private static boolean run(CaseRecord record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record)) {
            deployment.publishConfig(
                    1,
                    100_000,
                    Deployment.route("/draft/", "streaming", "drafts", DRAFT_BUDGET_MILLIS, 500),
                    Deployment.route("/order/", "non_idempotent", "orders", ORDER_TIMEOUT_MILLIS, 388));
            deployment.startServer("drafts-1", "drafts", (request, answer) -> draft(trouble, answer));
            deployment.startServer("orders-1", "orders", EndlessStreamBody::order);
            Deployment.Entry entry = deployment.startEntry("edge-bagmati-a-1");
            entry.awaitReady();
            Pause.millis(1_000);
            AtomicInteger lasting = new AtomicInteger();
            AtomicInteger unanswered = new AtomicInteger();
            List<Thread> consumers = new ArrayList<>();
            for (int number = 0; number < STREAMS; number++) {
                int consumer = number;
                consumers.add(Threads.start("drafts", () -> consumeDraft(entry, consumer, record)));
            }
            for (int number = 0; number < ORDERS; number++) {
                int order = number;
                consumers.add(Threads.start("order", () -> placeOrder(entry, order, record, lasting, unanswered)));
                Pause.millis(ORDER_PAUSE_MILLIS);
            }
            Threads.join(consumers, 20_000);
            deployment.recordLog(entry, 20);
            record.line("the entry " + (entry.process().isAlive() ? "runs" : "has ended"));
            record.line(lasting + " of " + ORDERS + " orders lasted longer than their route's timeout_ms; " + unanswered
                    + " of these had no final answer half a second after it");
            return unanswered.get() < MINIMUM_UNANSWERED || unanswered.get() * 4 <= lasting.get();
        }
    }

    private static void draft(boolean trouble, ServerStandIn.Answer answer) throws IOException {
        answer.beginStream();
        answer.chunk("id: 1\ndata: token\n\n");
        String lines = "\n".repeat(CHUNK_BYTES);
        while (trouble) {
            answer.chunk(lines);
            Pause.millis(CHUNK_PAUSE_MILLIS);
        }
        answer.endStream();
    }

    private static void order(Message request, ServerStandIn.Answer answer) throws IOException {
        Pause.millis(ORDER_WORK_MILLIS);
        answer.whole(200, "x".repeat(800));
    }

    private static void consumeDraft(Deployment.Entry entry, int consumer, CaseRecord record) {
        String id = "draft-" + consumer;
        try (ConsumerChannel channel = new ConsumerChannel(entry.front())) {
            channel.send("/draft/x", id, DRAFT_BUDGET_MILLIS, new byte[2]);
            record.line("consumer sent " + id);
            Message answer = channel.readAnswer();
            record.line("consumer: " + id + ": "
                    + (answer == null
                            ? "no answer"
                            : answer.startLine() + ", " + answer.body().length + " bytes, complete: " + answer.complete()));
        } catch (IOException e) {
            record.line("consumer: " + id + ": " + e.getMessage());
        }
    }

    private static void placeOrder(
            Deployment.Entry entry, int number, CaseRecord record, AtomicInteger lasting, AtomicInteger unanswered) {
        String id = "order-" + number;
        long sent = System.nanoTime();
        String result;
        try (ConsumerChannel channel = new ConsumerChannel(entry.front())) {
            channel.send("/order/place", id, ORDER_BUDGET_MILLIS, new byte[600]);
            channel.giveUpAfter(ORDER_BUDGET_MILLIS);
            Message answer = channel.readAnswer();
            result = answer == null ? "the channel ended" : answer.startLine();
        } catch (IOException e) {
            result = "no answer: " + e.getMessage();
        }
        long millis = (System.nanoTime() - sent) / 1_000_000;
        record.line("consumer: " + id + ": " + result + " after " + millis + " ms");
        if (millis > ORDER_TIMEOUT_MILLIS) {
            lasting.incrementAndGet();
        }
        if (millis > ORDER_TIMEOUT_MILLIS + SLACK_MILLIS) {
            unanswered.incrementAndGet();
        }
    }
}
